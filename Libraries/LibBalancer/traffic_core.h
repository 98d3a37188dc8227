// All decisions about traffic on one balancer, without sockets: the flow
// director with the placement and admission of each service. Programs that
// receive packets by other means than the balancer embed this class.

#ifndef LIBBALANCER_TRAFFIC_CORE_H_
#define LIBBALANCER_TRAFFIC_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "LibBalancer/service_dispatcher.h"
#include "LibBalancer/service_profile.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/flow_director.h"
#include "LibFlow/silence_detector.h"

namespace flow {
class BalancerSet;
class RoutingTable;
}  // namespace flow

namespace balancer {

class TrafficCore {
 public:
  TrafficCore(const flow::FlowSettings& settings,
              std::uint64_t seed,
              base::TimePoint now);

  // Queries.
  // Whether the address belongs to a service: packets to such an address are
  // from callers, all others are from servers.
  bool HasService(base::Endpoint address) const;
  const flow::FlowDirector& director() const { return m_director; }
  const std::unordered_map<base::ServiceId, ServiceDispatcher>& dispatchers()
      const {
    return m_dispatchers;
  }

  // Commands.
  // Replaces the routing and the profiles of all services. Services that stay
  // keep their load views and counts.
  void SetConfiguration(std::shared_ptr<const flow::RoutingTable> routing,
                        std::span<const ServiceProfile> services,
                        base::TimePoint now);
  void SetBalancers(std::shared_ptr<const flow::BalancerSet> balancers);
  // See FlowDirector::SetLease.
  void SetLease(base::TimePoint expires);
  // Applies a load report, a health probe or the counts of other balancers.
  void ApplyLoad(base::ServiceId service,
                 const placement::LoadEvent& event,
                 base::TimePoint now);

  // Return the effects of a packet without its flow events, which are already
  // applied.
  flow::Effects HandleCallerPacket(const flow::CallerPacket& packet,
                                   base::TimePoint now);
  flow::Effects HandleServerPacket(const flow::ServerPacket& packet,
                                   base::TimePoint now);
  // Handle requests and replies of other balancers about flows that may be
  // silent.
  void HandleWatchRequest(base::BalancerId from,
                          const flow::WatchRequest& request,
                          base::TimePoint now);
  void HandleWatchReply(base::BalancerId from, const flow::WatchReply& reply);
  // Must be called every 100 to 250 ms. The returned silent flows are already
  // counted as broken; the caller of this function resets both of their ends.
  flow::SilenceActions Advance(base::TimePoint now);

 private:
  const flow::RoutedServer* Choose(const flow::ServiceRouting& service,
                                   const flow::ServerOrder& order,
                                   flow::OpeningProgress progress);
  void Observe(const flow::FlowEvent& flow_event, base::TimePoint now);
  // Passes a packet to the detection of silent flows unless another balancer
  // relayed it to this one or it is dropped.
  void ObserveForSilence(const flow::StreamPacket& packet,
                         flow::RelayPurpose purpose,
                         const flow::Effects& effects,
                         base::TimePoint now);
  void RecordSilentFlow(const flow::SilentFlow& silent, base::TimePoint now);
  flow::Effects ApplyFlowEvents(const flow::Effects& effects,
                                base::TimePoint now);

  base::Random m_random;
  std::unordered_map<base::ServiceId, ServiceDispatcher> m_dispatchers;
  std::shared_ptr<const flow::RoutingTable> m_routing;
  flow::FlowDirector m_director;
  // Unset if the mechanism is turned off.
  std::optional<flow::SilenceDetector> m_silence;
  std::vector<base::BalancerId> m_peers;
  base::TimePoint m_lease_expires;
};

}  // namespace balancer

#endif  // LIBBALANCER_TRAFFIC_CORE_H_
