#include "balancer_process.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <chrono>
#include <csignal>
#include <optional>
#include <random>
#include <utility>

#include "LibFlow/balancer_set.h"
#include "LibObservability/log.h"
#include "LibPlatform/configuration_watcher.h"
#include "LibPlatform/configuration_watcher_driver.h"
#include "LibPlatform/vm_poller.h"

namespace service {

namespace {

using observability::Event;
using observability::Severity;
using observability::WriteLog;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kMembershipPeriod = milliseconds(20);
constexpr auto kLeaseRenewalPeriod = milliseconds(50);
constexpr auto kPhaseCheckPeriod = milliseconds(100);
constexpr auto kCountCollectionPeriod = milliseconds(50);
constexpr int kMaximumPortAttempts = 64;
constexpr auto kVmListInterval = seconds(1);
// After this time, a joining balancer serves without a VM list or without a
// complete view of its peers.
constexpr auto kJoinTimeout = seconds(2);
// A leaving balancer runs at least for the minimum time, so that peers and the
// fabric receive its state and other balancers learn its flows. It stops once
// no packet has arrived from the fabric for the quiet time, and after the
// maximum time at the latest.
constexpr auto kMinimumLeavingTime = seconds(3);
constexpr auto kLeavingQuietTime = seconds(1);
constexpr auto kMaximumLeavingTime = seconds(20);

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::uint64_t WallClockMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

// Logs why a socket of the process cannot be bound, and returns `reason`.
std::error_code LogBindFailure(std::string_view socket,
                               base::Endpoint endpoint,
                               std::error_code reason) {
  WriteLog(Severity::kError, Event::kBindFailed,
           {{"socket", socket},
            {"endpoint", base::ToString(endpoint)},
            {"reason", reason.message()}});
  return reason;
}

flow::FlowSettings MakeFlowSettings(const configuration::Settings& settings) {
  const configuration::MechanismSettings& mechanisms = settings.m_mechanisms;
  flow::FlowSettings flow;
  flow.m_mechanisms = {
      .m_learn_from_answers = mechanisms.m_learn_from_answers,
      .m_relay_to_home = mechanisms.m_relay_to_home,
      .m_probe = mechanisms.m_probe,
      .m_reopen_on_refusal = mechanisms.m_reopen_on_refusal,
      .m_configuration_lease = mechanisms.m_configuration_lease,
      .m_detect_silence = mechanisms.m_detect_silence};
  flow.m_silence.m_watch_duration = settings.m_control.m_silence_watch;
  flow.m_silence.m_repetitions =
      static_cast<std::uint32_t>(settings.m_control.m_silence_repetitions);
  flow.m_table_bytes = settings.m_control.m_flow_table_mb << 20;
  flow.m_searches_per_second =
      static_cast<double>(settings.m_control.m_search_budget_per_second);
  flow.m_home_idle_timeout = settings.m_control.m_flow_idle;
  return flow;
}

}  // namespace

base::Outcome<std::unique_ptr<BalancerProcess>> BalancerProcess::Create(
    const configuration::Settings& settings) {
  std::unique_ptr<BalancerProcess> process(
      new BalancerProcess(settings, settings.m_seed.value_or(RandomSeed())));
  BOOST_OUTCOME_TRYV(process->Bind());
  process->CreateComponents();
  return process;
}

BalancerProcess::BalancerProcess(const configuration::Settings& settings,
                                 std::uint64_t seed)
    : m_settings(settings),
      m_seed(seed),
      m_random(seed),
      // Not drawn from m_random: the seed may be fixed, but each run needs a
      // new balancer id.
      m_id(RandomSeed()),
      m_started_at(base::Clock::now()),
      m_platform(m_context, settings.m_platform),
      m_lease(settings.m_control.m_lease),
      m_load_sharer(m_started_at),
      m_burn_tracker(m_started_at),
      m_remote_balancers(m_context, m_platform),
      m_burn_collector(m_context, MakeBurnSources()) {}

BalancerProcess::~BalancerProcess() = default;

base::Outcome<void> BalancerProcess::Bind() {
  auto traffic = TrafficLoop::Create({.m_self = m_id,
                                      .m_listen = m_settings.m_traffic,
                                      .m_gateway = m_settings.m_gateway,
                                      .m_flow = MakeFlowSettings(m_settings),
                                      .m_seed = m_random.Next()});
  if (!traffic)
    return LogBindFailure("traffic", m_settings.m_traffic, traffic.error());
  m_traffic = std::move(traffic).value();
  BOOST_OUTCOME_TRYV(BindPeerSockets());
  auto admin = AdminConsole::Create(m_context, m_settings, m_platform,
                                    MakeAdminSources());
  if (!admin)
    return LogBindFailure("admin", m_settings.m_admin, admin.error());
  m_admin = std::move(admin).value();
  return base::Success();
}

base::Outcome<void> BalancerProcess::BindPeerSockets() {
  // Peers send requests by TCP to the port number of the UDP socket. If the
  // system chooses that number, another process may already use it for TCP.
  for (int attempt = 1;; ++attempt) {
    auto link = PeerLink::Create(m_context, m_settings.m_peer);
    if (!link)
      return LogBindFailure("peer", m_settings.m_peer, link.error());
    auto server =
        PeerServer::Create(m_context, link.value()->LocalEndpoint(),
                           [this](const peer::Message& request,
                                  const PeerServer::ReplyCallback& callback) {
                             OnPeerRequest(request, callback);
                           });
    if (server) {
      m_peer_link = std::move(link).value();
      m_peer_server = std::move(server).value();
      return base::Success();
    }
    const bool should_retry = m_settings.m_peer.m_port == 0 &&
                              attempt < kMaximumPortAttempts &&
                              server.error() == asio::error::address_in_use;
    if (!should_retry)
      return LogBindFailure("document", m_settings.m_peer, server.error());
  }
}

peer::MemberRecord BalancerProcess::MakeSelf() const {
  peer::MemberRecord self;
  self.m_id = m_id;
  self.m_name = m_settings.m_name;
  self.m_data_centre = m_settings.m_data_centre;
  const auto advertised =
      m_settings.m_advertised.value_or(configuration::AdvertisedEndpoints{
          m_traffic->LocalEndpoint(), m_peer_link->LocalEndpoint()});
  self.m_traffic = advertised.m_traffic;
  self.m_peer = advertised.m_peer;
  self.m_admin = m_admin->endpoint();
  self.m_incarnation = WallClockMilliseconds();
  return self;
}

void BalancerProcess::CreateComponents() {
  m_membership = std::make_unique<membership::Membership>(
      membership::Settings{}, MakeSelf(), m_started_at);
  m_configuration =
      std::make_unique<ActiveConfiguration>(m_settings, *m_traffic);
  m_load_poller = std::make_unique<LoadPoller>(
      m_context,
      [this](base::ServiceId service, const placement::LoadEvent& event) {
        m_traffic->Post(
            [service, event](balancer::TrafficCore& core, base::TimePoint now) {
              core.ApplyLoad(service, event, now);
            });
      });
  m_configuration_watcher =
      std::make_unique<platform::ConfigurationWatcherDriver>(
          m_context, m_platform, std::string(kDocumentKey),
          platform::ConfigurationWatcher(
              m_id, {}, base::Random(m_random.Next()), m_started_at),
          [this](base::ConfigurationVersion version, const std::string& body) {
            return OnDocument(version, body);
          },
          [this](const platform::PullFromPeer& pull) { OnPull(pull); },
          // ReportPeerConfirmation passes the peer's confirmation to the
          // watcher.
          [this](const platform::RequestDigest& probe) {
            m_membership->Ping(probe.m_peer, base::Clock::now());
          });
  m_vm_poller = std::make_unique<platform::VmPoller>(
      m_context, m_platform, m_settings.m_data_centre, kVmListInterval,
      base::Random(m_random.Next()),
      [this](const auto& vms) { OnOwnVms(vms); });
  m_all_vms_poller = std::make_unique<platform::VmPoller>(
      m_context, m_platform, base::DataCentreId(), kVmListInterval,
      base::Random(m_random.Next()),
      [this](const auto& vms) { OnAllVms(vms); });
}

void BalancerProcess::SubscribeTimers() {
  const base::TimePoint now = base::Clock::now();
  base::TimerService& timers = m_timers.timers();
  timers.SubscribeEvery(now, kMembershipPeriod,
                        [this](base::TimePoint at) { AdvanceMembership(at); });
  timers.SubscribeEvery(now, kLeaseRenewalPeriod,
                        [this](base::TimePoint at) { RenewLease(at); });
  timers.SubscribeEvery(now, kCountCollectionPeriod,
                        [this](base::TimePoint) { CollectCounts(); });
  timers.SubscribeEvery(now, kPhaseCheckPeriod, [this](base::TimePoint at) {
    ServeIfJoined(at);
    StopIfQuiet(at);
  });
  timers.SubscribeEvery(
      now, m_settings.m_control.m_health_interval / LoadPoller::kPollGroups,
      [this](base::TimePoint) { m_load_poller->Poll(); });
  m_timers.Rearm();
}

void BalancerProcess::CollectCounts() {
  m_traffic->Post([this](balancer::TrafficCore& core, base::TimePoint) {
    BurnTracker::Counts counts;
    LoadSharer::OpenFlows open_flows;
    for (const auto& [service, dispatcher] : core.dispatchers()) {
      counts[service] = dispatcher.counts();
      open_flows[service] = dispatcher.OwnOpenFlows();
    }
    asio::post(m_context,
               [this, counts, open_flows] { ApplyCounts(counts, open_flows); });
  });
}

void BalancerProcess::ApplyCounts(const BurnTracker::Counts& counts,
                                  const LoadSharer::OpenFlows& open_flows) {
  const base::TimePoint now = base::Clock::now();
  m_burn_tracker.RecordCounts(counts, now);
  m_load_sharer.SetOwnOpenFlows(open_flows, now);
  ShareLoad(now);
  m_traffic->Post([peer_flows = m_load_sharer.PeerOpenFlows(open_flows),
                   peers = static_cast<std::uint32_t>(
                       m_published_balancers->balancers().size() - 1)](
                      balancer::TrafficCore& core, base::TimePoint at) {
    for (const auto& [service, others] : peer_flows)
      core.ApplyLoad(service, placement::PeerOpenFlowCounts{others, peers}, at);
  });
}

void BalancerProcess::Run() {
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.async_wait([this](const std::error_code& error, int) {
    if (!error)
      StartLeaving();
  });
  PublishBalancers();
  m_peer_link->Start(
      [this](base::Endpoint from, const peer::Message& message) {
        OnPeerMessage(from, message);
      },
      [](base::Endpoint from, std::error_code reason) {
        WriteLog(
            Severity::kWarning, Event::kPeerMessageRefused,
            {{"from", base::ToString(from)}, {"reason", reason.message()}});
      });
  m_peer_server->Start();
  m_configuration_watcher->Start();
  m_vm_poller->Start();
  m_all_vms_poller->Start();
  SubscribeTimers();
  m_traffic->Start([this](flow::SilenceActions actions) {
    asio::post(m_context, [this, actions = std::move(actions)] {
      HandleSilenceActions(actions);
    });
  });
  WriteLog(Severity::kInfo, Event::kListening,
           {{"traffic", base::ToString(m_traffic->LocalEndpoint())},
            {"peer", base::ToString(m_peer_link->LocalEndpoint())},
            {"admin", base::ToString(m_admin->endpoint())},
            {"name", m_settings.m_name},
            {"data_centre", m_settings.m_data_centre.value()},
            {"id", m_id.value()},
            {"seed", m_seed}});
  m_context.run();
}

void BalancerProcess::ServeIfJoined(base::TimePoint now) {
  if (m_phase != ProcessPhase::kJoining ||
      m_configuration->version() == base::ConfigurationVersion())
    return;
  const bool knows_peers = m_has_vm_list && m_membership->HasCompleteView(now);
  if (!knows_peers && now - m_started_at < kJoinTimeout)
    return;
  m_phase = ProcessPhase::kServing;
  m_membership->Serve();
  PublishBalancers();
  WriteLog(Severity::kInfo, Event::kReady,
           {{"version", m_configuration->version().value()}});
}

void BalancerProcess::StartLeaving() {
  WriteLog(Severity::kInfo, Event::kShutdownStarted);
  m_phase = ProcessPhase::kLeaving;
  m_leaving_since = base::Clock::now();
  m_last_fabric_packet = m_leaving_since;
  m_membership->Leave();
  PublishBalancers();
}

void BalancerProcess::StopIfQuiet(base::TimePoint now) {
  if (m_phase != ProcessPhase::kLeaving)
    return;
  const std::uint64_t packets =
      m_traffic->counters().Value(TrafficCounter::kPacketsFromFabric);
  if (packets != m_fabric_packets) {
    m_fabric_packets = packets;
    m_last_fabric_packet = now;
  }
  const base::Duration leaving_for = now - m_leaving_since;
  const bool is_quiet = leaving_for > kMinimumLeavingTime &&
                        now - m_last_fabric_packet > kLeavingQuietTime;
  if (!is_quiet && leaving_for < kMaximumLeavingTime)
    return;
  m_phase = ProcessPhase::kStopped;
  WriteLog(Severity::kInfo, Event::kShutdownFinished, {{"is_quiet", is_quiet}});
  m_context.stop();
}

}  // namespace service
