// Opens flows directly at each ready balancer on routes that were just added or
// dropped.

#ifndef TESTS_SOAK_ROUTE_PROBER_H_
#define TESTS_SOAK_ROUTE_PROBER_H_

#include <cstdint>
#include <memory>
#include <set>

#include "LibBase/ipv4.h"
#include "LibFlow/flow_key.h"
#include "StandIns/event_loop.h"
#include "StandIns/udp_port.h"

namespace soak {

class EdgeFleet;
class InvariantChecker;

class RouteProber {
 public:
  // Throws if the prober cannot bind `address`.
  RouteProber(stand_ins::EventLoop* loop,
              InvariantChecker* checker,
              const EdgeFleet* fleet,
              base::Ipv4Address address);
  RouteProber(const RouteProber&) = delete;
  RouteProber& operator=(const RouteProber&) = delete;

  // Queries.
  std::uint64_t Sent() const { return m_sent; }
  // The probes on routes that exist.
  std::uint64_t Unanswered() const { return m_waiting.size(); }

  // Commands.
  // Probes the route several times from the end of the bound for changes on.
  void ProbeAfterBound(base::Endpoint route, bool is_added);

 private:
  void Probe(base::Endpoint route, bool is_added);
  void CheckAnswered(const flow::FlowKey& flow, base::Ipv4Address edge);
  void Handle(stand_ins::UdpPort::Bytes datagram, base::Endpoint source);

  stand_ins::EventLoop* m_loop;
  InvariantChecker* m_checker;
  const EdgeFleet* m_fleet;
  base::Ipv4Address m_address;
  std::unique_ptr<stand_ins::UdpPort> m_port;
  std::uint16_t m_next_port;
  std::uint64_t m_sent = 0;
  std::set<flow::FlowKey> m_waiting;
};

}  // namespace soak

#endif  // TESTS_SOAK_ROUTE_PROBER_H_
