// A proxy that injects faults between UDP sources and one target.

#ifndef STANDINS_UDP_PROXY_H_
#define STANDINS_UDP_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "StandIns/fault_plan.h"
#include "StandIns/json_line.h"
#include "StandIns/line_commands.h"
#include "StandIns/udp_port.h"

namespace stand_ins {

class EventLoop;

class UdpProxy {
 public:
  // `loop` and `plan` must outlive the proxy.
  UdpProxy(EventLoop* loop, FaultPlan* plan, base::Endpoint target)
      : m_loop(loop), m_plan(plan), m_target(target) {}

  // Queries.
  base::Endpoint LocalEndpoint() const { return m_listen->LocalEndpoint(); }
  JsonLine ReportLine() const;

  // Commands.
  base::Outcome<void> Open(base::Endpoint listen);
  // `exclude IP` drops all datagrams from and to sources with that address;
  // `admit IP` ends the exclusion.
  void AddCommands(LineCommands* commands);
  // Directs later datagrams to `target`.
  void SetTarget(base::Endpoint target) { m_target = target; }
  // Delivers the datagrams that waited for a freeze, as far as it has ended.
  void DeliverPending();

 private:
  static constexpr std::size_t kMaximumSources = 4096;
  static constexpr std::size_t kMaximumWaiting = 200'000;  // datagrams

  struct Datagram {
    Direction m_direction;
    std::string m_bytes;
    base::Endpoint m_source;  // the proxy's client, in both directions
  };

  struct Counters {
    std::uint64_t m_received = 0;
    std::uint64_t m_delivered = 0;
    std::uint64_t m_overflowed = 0;  // too many sources or waiting datagrams
  };

  UdpPort* PortOf(base::Endpoint source);
  void Receive(const Datagram& datagram);
  void DeliverAfter(base::Duration delay, const Datagram& datagram);
  void Deliver(const Datagram& datagram);

  EventLoop* m_loop;
  FaultPlan* m_plan;
  base::Endpoint m_target;
  std::unique_ptr<UdpPort> m_listen;
  // One socket per source, bound to the source's address, so that the target
  // sees that address. Datagrams that the target sends to the socket are
  // delivered to the source.
  std::unordered_map<base::Endpoint, std::unique_ptr<UdpPort>> m_ports;
  std::unordered_set<base::Ipv4Address> m_excluded;
  std::deque<Datagram> m_pending;
  std::size_t m_delayed = 0;
  Counters m_counters;
};

}  // namespace stand_ins

#endif  // STANDINS_UDP_PROXY_H_
