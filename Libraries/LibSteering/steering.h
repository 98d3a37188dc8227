// Decides where the packets of callers go when each packet carries a token
// that names its flow's backend server. No sockets, clocks or globals.
//
// The token makes routing a function of the packet and the server directory:
// any balancer, also one that started a moment ago, forwards any packet of any
// flow. What is kept of flows serves placement and finding silent servers, and
// losing it breaks nothing.

#ifndef LIBSTEERING_STEERING_H_
#define LIBSTEERING_STEERING_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/token_bucket.h"
#include "LibSteering/caller_packet.h"
#include "LibSteering/decision.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/opening_placer.h"
#include "LibSteering/route_table.h"
#include "LibSteering/server_directory.h"

namespace steering {

struct SteeringSettings {
  base::DataCentreId m_data_centre;
  PlacementPolicy m_placement;
  // An opening that its caller has not confirmed after this time goes to
  // another server too. Several round trips between data centres, and well
  // under the 200 ms after which the caller repeats it.
  base::Duration m_resend_after = std::chrono::milliseconds(40);
  // How often one opening is sent to a further server.
  std::uint32_t m_maximum_resends = 3;
  // A caller that repeats itself after less than this has not waited for an
  // answer: packets overtake each other by some milliseconds, and ends repeat
  // after 200 ms.
  base::Duration m_suspect_after = std::chrono::milliseconds(50);
  // Probes of servers, each a connection: a bound on what they take of a VM
  // with a few hundredths of a core.
  double m_probes_per_second = 50;
  // A server whose record is gone without notice is taken to have ended after
  // this time, in which a living server registers again.
  base::Duration m_expiry_grace = std::chrono::milliseconds(2500);
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
  // Whether routes and servers were learned, so that packets can be decided.
  bool HasRoutesAndServers() const {
    return m_are_servers_known &&
           m_routes.Version() != base::ConfigurationVersion();
  }
  // Whether openings can be placed.
  bool IsReady() const;
  // Whether any server that takes openings can be reached.
  bool HasReachableServer() const { return m_directory.HasReachableServer(); }
  // When PopDueResends is due because of an opening without an answer.
  std::optional<base::TimePoint> NextResendAt() const;

  // Commands.
  ServerDirectory& directory() { return m_directory; }
  bool ApplyManifest(Manifest manifest) {
    return m_routes.Replace(std::move(manifest));
  }
  // All servers were listed at least once.
  void SetServersKnown() { m_are_servers_known = true; }
  // Whether the routes in force are known to be the newest. Without it, a
  // missing route may be one not heard of yet.
  void SetRoutesCurrent(bool is_current) { m_are_routes_current = is_current; }
  Decision Handle(const CallerPacket& packet, base::TimePoint now);
  // The openings that go to a further server now.
  std::vector<OpeningResend> PopDueResends(base::TimePoint now);
  // The servers that are to be probed now; each is answered by
  // RecordProbeResult.
  std::vector<const KnownServer*> StartDueProbes(base::TimePoint now);
  // Returns the server if the judgement of its reachability changed.
  const KnownServer* RecordProbeResult(ServerHandle server,
                                       ProbeResult result,
                                       base::TimePoint now);
  // Forgets what is old. Called a few times a second. Returns the requests
  // that were found overdue and speak against their servers.
  std::vector<OverdueRequest> Sweep(base::TimePoint now);

 private:
  Decision Refuse(const CallerPacket& packet, Reason reason) const;
  Decision HandleOpening(const CallerPacket& packet,
                         const Route& route,
                         base::TimePoint now);
  Decision PlaceOpening(const CallerPacket& packet,
                        const Route& route,
                        KnownServer* previous_server,
                        base::TimePoint now);
  Decision HandleEstablished(const CallerPacket& packet,
                             const Route* route,
                             base::TimePoint now);
  void MarkSuspected(KnownServer& server, base::TimePoint waiting_since);
  // Sees to it that the server is probed until it is settled.
  void AddToProbeList(KnownServer& server);
  // Notes what the packet says about the server's reachability.
  void UpdateReachability(KnownServer& server,
                          base::TimePoint waiting_since,
                          Decision& decision,
                          base::TimePoint now);
  // Why no answer can come, if so.
  std::optional<Reason> ResetReason(const KnownServer& server,
                                    const Route& route,
                                    base::TimePoint now) const;
  // A server that will never answer again.
  bool HasEnded(const KnownServer& server, base::TimePoint now) const;

  SteeringSettings m_settings;
  base::Random m_random;
  RouteTable m_routes;
  ServerDirectory m_directory;
  FlowTracker m_tracker{m_directory};
  OpeningPlacer m_placer;
  // Servers in doubt or unreachable, so that few are looked at.
  std::vector<ServerHandle> m_probe_list;
  flow::TokenBucket m_probe_budget;
  bool m_are_servers_known = false;
  bool m_are_routes_current = false;
  // Openings by the time at which they go to a further server, oldest first.
  std::deque<std::pair<base::TimePoint, flow::FlowKey>> m_resends;
};

}  // namespace steering

#endif  // LIBSTEERING_STEERING_H_
