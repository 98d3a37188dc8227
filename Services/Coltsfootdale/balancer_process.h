// One balancer process. Its control thread runs membership, configuration, load
// reports and the lease, and posts tasks to the traffic thread, which forwards
// the packets (TrafficLoop).

#ifndef SERVICES_COLTSFOOTDALE_BALANCER_PROCESS_H_
#define SERVICES_COLTSFOOTDALE_BALANCER_PROCESS_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/outcome.h"
#include "LibBase/random.h"
#include "LibConfiguration/settings.h"
#include "LibEventLoop/timer_driver.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/silence_detector.h"
#include "LibMembership/membership.h"
#include "LibMembership/vm_entry.h"
#include "LibObservability/metrics.h"
#include "LibObservability/rate_limiter.h"
#include "LibPeer/message.h"
#include "LibPlatform/platform_client.h"
#include "active_configuration.h"
#include "admin_console.h"
#include "burn_collector.h"
#include "burn_tracker.h"
#include "configuration_lease.h"
#include "document_puller.h"
#include "load_poller.h"
#include "load_sharer.h"
#include "peer_link.h"
#include "peer_server.h"
#include "remote_balancers.h"
#include "traffic_loop.h"

namespace platform {
class ConfigurationWatcherDriver;
class VmPoller;
struct PullFromPeer;
struct VmRecord;
}  // namespace platform

namespace service {

enum class ProcessPhase : std::uint8_t {
  // Has no configuration yet, or no complete view of its peers.
  kJoining,
  kServing,
  // Has left the fabric and still handles packets of the flows that it knows.
  kLeaving,
  kStopped,
};

inline constexpr base::EnumTable<ProcessPhase, 4> kProcessPhaseNames = {{
    {ProcessPhase::kJoining, "joining"},
    {ProcessPhase::kServing, "serving"},
    {ProcessPhase::kLeaving, "leaving"},
    {ProcessPhase::kStopped, "stopped"},
}};

class BalancerProcess {
 public:
  // Binds all sockets. Returns a system error if one cannot be bound.
  static base::Outcome<std::unique_ptr<BalancerProcess>> Create(
      const configuration::Settings& settings);
  ~BalancerProcess();
  BalancerProcess(const BalancerProcess&) = delete;
  BalancerProcess& operator=(const BalancerProcess&) = delete;

  // Queries.
  // Whether the fabric should send packets to this balancer. False while the
  // lease is expired, because the balancer would drop the packets.
  bool IsReady() const {
    return m_phase == ProcessPhase::kServing && m_has_lease;
  }

  // Commands.
  // Runs until the graceful shutdown that SIGTERM or SIGINT starts has
  // finished.
  void Run();

 private:
  BalancerProcess(const configuration::Settings& settings, std::uint64_t seed);

  // Creates the components that own sockets and binds the sockets.
  base::Outcome<void> Bind();
  base::Outcome<void> BindPeerSockets();
  // Creates the components that need the addresses of the bound sockets.
  void CreateComponents();
  void SubscribeTimers();
  // Renews the configuration lease if the evidence suffices, and passes the
  // new expiry to membership and to the traffic thread.
  void RenewLease(base::TimePoint now);
  // Returns the record with which this balancer joins the membership.
  peer::MemberRecord MakeSelf() const;

  // Membership.
  // Runs the membership protocol up to `now`.
  void AdvanceMembership(base::TimePoint now);
  // Sends the messages and logs the events that membership returned.
  void ExecuteEffects(const membership::Effects& effects);
  void OnPeerMessage(base::Endpoint from, const peer::Message& message);
  // The VMs of this data centre.
  void OnOwnVms(const std::vector<platform::VmRecord>& vms);
  // The VMs of all data centres.
  void OnAllVms(const std::vector<platform::VmRecord>& vms);
  // Passes the VMs of all data centres to membership.
  void ApplyVmLists();
  // Passes the balancers of this data centre that handle packets to the traffic
  // thread, if they have changed.
  void PublishBalancers();
  // Reports to the configuration watcher when the platform last confirmed the
  // version in force to any balancer.
  void ReportPeerConfirmation(base::TimePoint now);

  // Configuration.
  // Applies the document. Returns whether it is now in force.
  bool OnDocument(base::ConfigurationVersion version, const std::string& body);
  // Fetches the document from a peer for the configuration watcher.
  void OnPull(const platform::PullFromPeer& pull);
  // Returns a message with this balancer as its sender.
  peer::Message MakePeerMessage(peer::MessageBody body) const;

  // Burn report.
  // Sets the services whose burn is counted and the data centres whose reports
  // are summed.
  void SetBurnDocument(const configuration::Document& document);
  BurnCollector::Sources MakeBurnSources();
  // Whether another balancer runs at the peer endpoint of a dead one.
  bool IsReplaced(const peer::MemberRecord& dead) const;
  // Returns the other balancers of this data centre. A dead balancer that is
  // expected to run is a target without endpoints, so that the report lists it
  // as missing.
  std::vector<BurnTarget> BurnMemberTargets() const;
  // Returns the other data centres with their balancers in random order.
  std::vector<BurnTarget> BurnDataCentreTargets();
  // Handles a request that a peer sent by TCP.
  void OnPeerRequest(const peer::Message& request,
                     const PeerServer::ReplyCallback& callback);
  void HandleBurnRequest(const peer::BurnRequest& request,
                         const PeerServer::ReplyCallback& callback);
  console::RenderedBurnReport RenderBurnReport(
      const observability::CombinedBurnReport& burn) const;

  // Counts of the traffic thread for the burn report and for peers.
  // Copies the counts on the traffic thread and posts them to ApplyCounts.
  void CollectCounts();
  void ApplyCounts(const BurnTracker::Counts& counts,
                   const LoadSharer::OpenFlows& open_flows);
  // Sends this balancer's open flows to the serving peers, if a digest is due.
  void ShareLoad(base::TimePoint now);

  // Silent flows.
  // Sends the messages and logs the silent flows.
  void HandleSilenceActions(const flow::SilenceActions& actions);
  void LogSilentFlow(const flow::SilentFlow& silent, base::TimePoint now);
  void OnFlowWatchRequest(base::BalancerId from,
                          const peer::FlowWatchRequest& watch);
  void OnFlowWatchReply(base::BalancerId from,
                        const peer::FlowWatchReply& reply);

  // Admin server.
  AdminConsole::Sources MakeAdminSources();
  StatusView MakeStatus() const;
  std::string RenderMetrics();

  // Phases.
  // Starts to serve once a configuration is in force and either the peers are
  // known or the join timeout has elapsed.
  void ServeIfJoined(base::TimePoint now);
  void StartLeaving();
  // Stops a leaving balancer that receives no more packets or has reached the
  // time limit.
  void StopIfQuiet(base::TimePoint now);

  configuration::Settings m_settings;
  // The seed of m_random. The log states the seed.
  std::uint64_t m_seed;
  base::Random m_random;
  base::BalancerId m_id;
  base::TimePoint m_started_at;
  ProcessPhase m_phase = ProcessPhase::kJoining;
  // Whether the VMs of this data centre were listed at least once.
  bool m_has_vm_list = false;
  std::vector<membership::VmEntry> m_own_vms;
  // VMs of the other data centres.
  std::vector<membership::VmEntry> m_remote_vms;
  base::TimePoint m_leaving_since;
  // While leaving: when StopIfQuiet last found a new packet from the fabric,
  // and the number of packets then.
  base::TimePoint m_last_fabric_packet;
  std::uint64_t m_fabric_packets = 0;
  // The set that the traffic thread uses.
  std::shared_ptr<const flow::BalancerSet> m_published_balancers;

  asio::io_context m_context{1};
  asio::signal_set m_signals{m_context};
  event_loop::TimerDriver m_timers{m_context};
  std::unique_ptr<TrafficLoop> m_traffic;
  std::unique_ptr<PeerLink> m_peer_link;
  std::unique_ptr<PeerServer> m_peer_server;
  DocumentPuller m_document_puller{m_context};
  platform::PlatformClient m_platform;
  std::unique_ptr<membership::Membership> m_membership;
  std::unique_ptr<platform::ConfigurationWatcherDriver> m_configuration_watcher;
  // Lists the VMs of this data centre.
  std::unique_ptr<platform::VmPoller> m_vm_poller;
  // Lists the VMs of all data centres.
  std::unique_ptr<platform::VmPoller> m_all_vms_poller;
  std::unique_ptr<ActiveConfiguration> m_configuration;
  std::unique_ptr<LoadPoller> m_load_poller;
  ConfigurationLease m_lease;
  // The result of the last attempt to renew the lease.
  bool m_has_lease = true;
  LoadSharer m_load_sharer;
  BurnTracker m_burn_tracker;
  RemoteBalancers m_remote_balancers;
  BurnCollector m_burn_collector;
  observability::MetricsRegistry m_metrics;
  // Limits the log lines on silent flows.
  observability::RateLimiter m_log_limiter;
  std::unique_ptr<AdminConsole> m_admin;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BALANCER_PROCESS_H_
