// Decides what to do with the packets of callers. Every packet of an
// established flow carries a token that identifies the flow's backend server.
// Uses no sockets, clocks or globals.
//
// The token makes forwarding a function of the packet and the server directory.
// Any balancer can forward any packet of any flow, even right after its start.
// The balancer's own state of flows serves only to place openings and to find
// unreachable servers. A loss of that state breaks no flow.

#ifndef LIBSTEERING_STEERING_H_
#define LIBSTEERING_STEERING_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/token_bucket.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/decision.h"
#include "LibSteering/denied_flows.h"
#include "LibSteering/extra_openings.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/opening_placer.h"
#include "LibSteering/remote_reachability.h"
#include "LibSteering/route_table.h"
#include "LibSteering/server_directory.h"
#include "LibSteering/service_admissions.h"
#include "LibSteering/warm_up_budget.h"

namespace steering {

struct SteeringSettings {
  base::DataCentreId m_data_centre;
  PlacementPolicy m_placement;
  // An opening whose answer the caller has not acknowledged after this time is
  // sent to another server too. The time covers several round trips between
  // data centres and is well below the 200 ms after which the caller
  // retransmits.
  base::Duration m_resend_after = std::chrono::milliseconds(40);
  // How many times one opening is sent to a further server.
  std::uint32_t m_maximum_resends = 3;
  // A retransmission makes its server suspected only if the caller has waited
  // at least this long. Packets are reordered by some milliseconds, and callers
  // retransmit after 200 ms.
  base::Duration m_suspect_after = std::chrono::milliseconds(50);
  // Each probe is a connection. The rate bounds the processor time of probes on
  // a VM with a few hundredths of a core.
  double m_probes_per_second = 50;
  // A server whose record was removed without draining counts as ended after
  // this time. A running server registers again within it.
  base::Duration m_expiry_grace = std::chrono::milliseconds(2500);
  // The extra openings against slow answers, in percent of the openings of the
  // last 10 s. Zero: none.
  double m_extra_openings_percent = 0;
};

// What the result of a probe changed.
struct ProbeEffect {
  // Null if the server was removed during the probe.
  const KnownServer* m_server = nullptr;
  // Whether the server became reachable or unreachable.
  bool m_is_changed = false;
  // Whether the probe proves nothing, see ServerReachability::IsInconclusive.
  bool m_is_inconclusive = false;
};

class Steering {
 public:
  Steering(SteeringSettings settings, std::uint64_t seed, base::TimePoint now);
  Steering(const Steering&) = delete;
  Steering& operator=(const Steering&) = delete;

  // Queries.
  const RouteTable& routes() const { return m_routes; }
  const ServerDirectory& directory() const { return m_directory; }
  const FlowTracker& tracker() const { return m_tracker; }
  const ExtraOpenings& extra_openings() const { return m_extra; }
  // The openings that this balancer has placed since its start, by service.
  const std::map<std::string, std::uint64_t>& openings() const {
    return m_openings;
  }
  const ServiceAdmissions& admissions() const { return m_admissions; }
  // Whether a manifest and servers have been received, and the evacuations are
  // not awaited. Openings can't be decided before.
  bool HasRoutesAndServers() const {
    return m_are_servers_known && !m_awaits_evacuations &&
           m_routes.Version() != base::ConfigurationVersion();
  }
  // Whether a complete list of servers has been received. Before, a packet
  // whose token no known server has may belong to a server of the list's rest.
  bool AreServersComplete() const { return m_are_servers_complete; }
  bool AwaitsEvacuations() const { return m_awaits_evacuations; }
  // When the last evacuation of `data_centre` ended; nothing if none is known
  // to have ended. Its servers may have restarted shortly before.
  std::optional<base::TimePoint> EvacuationEndedAt(
      const base::DataCentreId& data_centre) const {
    return m_directory.EvacuationEndedAt(data_centre);
  }
  // Whether openings can be placed: routes and a ready server are known.
  bool IsReady() const;
  // Whether any server that accepts openings can be reached.
  bool HasReachableServer() const { return m_directory.HasReachableServer(); }
  // When PopDueResends has to be called next; nothing without a pending
  // resend.
  std::optional<base::TimePoint> NextResendAt() const;

  // Commands.
  ServerDirectory& directory() { return m_directory; }
  bool ApplyManifest(Manifest manifest) {
    if (!m_routes.Replace(std::move(manifest)))
      return false;
    m_admissions.SetRoutes(m_routes.manifest());
    return true;
  }
  // Records that a complete list of servers has been applied.
  void SetServersKnown() {
    m_are_servers_known = true;
    m_are_servers_complete = true;
  }
  // Records that a part of the first list of servers has been applied.
  void SetSomeServersKnown() { m_are_servers_known = true; }
  // Replaces the evacuated data centres. The servers of one whose evacuation
  // ends may have restarted shortly before, so they count as cold for the
  // warm-up of their service.
  void SetEvacuated(std::set<base::DataCentreId> evacuated,
                    base::TimePoint now);
  // Sets whether openings wait until the evacuations are known, so that a
  // balancer that has just started sends nothing to an evacuated data centre.
  void SetAwaitsEvacuations(bool awaits) { m_awaits_evacuations = awaits; }
  // Limits the openings to cold servers and tells the number of balancers that
  // share them, see WarmUpBudget.
  WarmUpBudget& warm_up() { return m_warm_up; }
  // Sets whether the routes in force are known to be the newest. Otherwise a
  // missing route may be one that this balancer has not received yet.
  void SetRoutesCurrent(bool is_current) { m_are_routes_current = is_current; }
  // Sets the time up to which routes and servers contain all changes; nothing
  // if that is not known. A flow that the balancer first saw later may be of a
  // server or a route that came back since, and is not reset.
  void SetViewCurrentAsOf(std::optional<base::TimePoint> time) {
    m_view_current_as_of = time;
  }
  // Decides about a packet and updates the states of its flow and its server.
  Decision Handle(const CallerPacket& packet, base::TimePoint now);
  // Places the openings whose resend is due and returns them. The caller sends
  // each to its new server.
  std::vector<OpeningResend> PopDueResends(base::TimePoint now);
  // The servers that have to be probed now. Their probes count as started; the
  // caller reports each result with RecordProbeResult.
  std::vector<const KnownServer*> StartDueProbes(base::TimePoint now);
  // `received_bytes` are the bytes of response bodies that this balancer
  // received during the probe.
  ProbeEffect RecordProbeResult(ServerHandle server,
                                ProbeResult result,
                                base::TimePoint now,
                                std::uint64_t received_bytes = 0);
  // Removes idle flows and servers that are gone. Must be called a few times a
  // second. Returns the newly overdue requests that count as unanswered by
  // their servers.
  std::vector<OverdueRequest> Sweep(base::TimePoint now);
  // The servers that became slow or sound since the last call.
  std::vector<SlowServerChange> TakeSlowServerChanges() {
    return m_extra.slow_servers().TakeChanges();
  }

 private:
  // The decision to reset the caller.
  Decision Refuse(const CallerPacket& packet, Reason reason) const;
  Decision HandleOpening(const CallerPacket& packet,
                         const Route& route,
                         base::TimePoint now);
  // `previous_server` is the server that did not answer the opening; null for
  // the first placement.
  Decision PlaceOpening(const CallerPacket& packet,
                        const Route& route,
                        KnownServer* previous_server,
                        base::TimePoint now);
  // The server for an opening to `service`; nothing if none is eligible.
  std::optional<Placement> ChooseServer(const Route& route,
                                        const std::string& service,
                                        KnownServer* previous_server,
                                        base::TimePoint now);
  // Counts an opening that goes to `server` in the load of the service and in
  // the budgets of cold servers.
  void CountPlacement(const std::string& service,
                      KnownServer& server,
                      const KnownServer* previous_server,
                      base::TimePoint now);
  // The server of least cost, not `previous_server` unless it is the only one.
  // `options` are those of the service. Cold servers take part while their
  // budget allows it.
  std::optional<Placement> PlaceAmong(const OpeningPlacer& placer,
                                      const Route& route,
                                      std::span<KnownServer* const> servers,
                                      const ServiceOptions* options,
                                      KnownServer* previous_server,
                                      base::TimePoint now);
  // Records the opening at its server and schedules its resend.
  // `previous_server` is null for the first placement.
  void RecordPlacement(const flow::FlowKey& flow,
                       KnownServer& server,
                       const KnownServer* previous_server,
                       const Route& route,
                       base::TimePoint now);
  // The server of an established flow. If several servers have the token of the
  // packet, the one that this balancer's record of the flow names. Null if the
  // packet and the record identify no server.
  KnownServer* FindServerOf(const CallerPacket& packet);
  Decision HandleEstablished(const CallerPacket& packet,
                             const Route* route,
                             base::TimePoint now);
  // Counts a request for the budget of cold servers if a packet of the flow has
  // just begun one.
  void RecordRequest(const flow::FlowKey& flow,
                     const KnownServer& server,
                     base::TimePoint now);
  // Records that a caller has waited for an answer of `server` since
  // `waiting_since`, and adds the server to the probe list if necessary.
  void MarkSuspected(KnownServer& server,
                     base::TimePoint waiting_since,
                     base::TimePoint now);
  // Adds a server that needs probing to the probe list.
  void AddToProbeList(KnownServer& server);
  // Updates the server's reachability with an answer or a retransmission.
  void UpdateReachability(KnownServer& server,
                          base::TimePoint waiting_since,
                          Decision& decision,
                          base::TimePoint now);
  // Why the view denies a flow of `server`; nothing if it does not. `route` is
  // null if no route has the address of the packet.
  std::optional<Reason> DenialReason(const CallerPacket& packet,
                                     const KnownServer& server,
                                     const Route* route,
                                     base::TimePoint now) const;
  // If the view denies the flow, resets it if the view is not older than the
  // flow, and otherwise forwards the packet to `server`. Returns whether the
  // view denies the flow.
  bool DenyIfOver(const CallerPacket& packet,
                  KnownServer& server,
                  Decision& decision,
                  base::TimePoint now);
  // Whether to reset a flow because `server` cannot be reached.
  static bool IsUnreachable(const KnownServer& server, const Route& route);
  // The load of a service in requests in progress per slot: that of this
  // balancer's callers, or the load that the answer times show if it is higher.
  double LoadOf(const std::string& service, base::TimePoint now) const;
  // Places an opening. One whose requests may be repeated avoids slow servers.
  std::optional<Placement> PlaceWithoutSlow(
      const OpeningPlacer& placer,
      const Route& route,
      std::span<KnownServer* const> servers,
      const KnownServer* previous_server,
      base::TimePoint now);
  // Places a new opening on a slow server whose trial is due, if the budget
  // covers the trial.
  std::optional<Placement> PlaceTrial(const Route& route,
                                      const std::string& service,
                                      const ServiceOptions* options,
                                      base::TimePoint now);
  // Whether a copy of the opening may be sent before m_resend_after. Charges
  // the budget.
  bool TakeEarlyCopy(const flow::FlowKey& flow,
                     const Route& route,
                     const KnownServer& previous_server,
                     base::TimePoint now);
  // How long to wait for a sign of the handshake before the next resend.
  base::Duration ResendDelay(const Route& route,
                             bool is_first_placement,
                             base::TimePoint now) const;
  void ScheduleResend(FlowRecord& record,
                      const flow::FlowKey& flow,
                      base::TimePoint at);
  // Records that no sign of the handshake of `record` arrived in time, which
  // concerns `server` and, after an early copy, the first server too.
  void MarkUnansweredSuspected(const FlowRecord& record,
                               KnownServer& server,
                               base::TimePoint now);
  // Learns from the times that `packet` shows.
  void RecordTimes(const CallerPacket& packet,
                   const Observation& observation,
                   KnownServer& server,
                   base::TimePoint now);
  // Whether openings may go to evacuated data centres: nothing else can be
  // reached, and it is not known whether the evacuations are still in force. A
  // data centre that is cut off serves what it can.
  bool IsCutOffUnderEvacuation(base::TimePoint now) const {
    return !m_are_routes_current && !m_directory.Evacuated().empty() &&
           m_remote_reachability.IsCutOff(now);
  }
  // Whether `server` is in another data centre than this balancer.
  bool IsRemote(const KnownServer& server) const {
    return server.m_record.m_data_centre != m_settings.m_data_centre;
  }
  // Why no server of `service` could be chosen.
  Reason RefusalReason(std::string_view service, base::TimePoint now);
  // Whether `server` has ended, so that no answer can arrive.
  bool HasEnded(const KnownServer& server, base::TimePoint now) const;

  SteeringSettings m_settings;
  base::Random m_random;
  RouteTable m_routes;
  ServerDirectory m_directory;
  FlowTracker m_tracker{m_directory};
  ServiceAdmissions m_admissions;
  OpeningPlacer m_placer;
  // Places openings without regard to the data centre of the servers.
  OpeningPlacer m_remote_placer;
  ExtraOpenings m_extra;
  WarmUpBudget m_warm_up;
  RemoteReachability m_remote_reachability;
  std::map<std::string, std::uint64_t> m_openings;
  // The servers that need probing, so that StartDueProbes does not have to
  // visit every server.
  std::vector<ServerHandle> m_probe_list;
  flow::TokenBucket m_probe_budget;
  bool m_are_servers_known = false;
  bool m_are_servers_complete = false;
  bool m_awaits_evacuations = false;
  bool m_are_routes_current = false;
  std::optional<base::TimePoint> m_view_current_as_of;
  DeniedFlows m_denied_flows;
  // The openings that may be resent, with the time of the resend, oldest first.
  std::deque<std::pair<base::TimePoint, flow::FlowKey>> m_resends;
};

}  // namespace steering

#endif  // LIBSTEERING_STEERING_H_
