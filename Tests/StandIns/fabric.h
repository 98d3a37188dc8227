// The stand-in for the fabric: sends each packet of a caller or a backend
// server to a random ready balancer, and each packet of a balancer to the
// caller in its destination address.

#ifndef STANDINS_FABRIC_H_
#define STANDINS_FABRIC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/random.h"
#include "StandIns/flow_drop_filter.h"
#include "StandIns/line_commands.h"
#include "StandIns/udp_port.h"
#include "StandIns/udp_source_pool.h"

namespace stand_ins {

class EventLoop;
class ReadinessPoll;

class Fabric {
 public:
  // `loop` must outlive the fabric.
  Fabric(EventLoop* loop, std::uint64_t seed);
  ~Fabric();

  // Queries.
  JsonLine ListeningLine() const;
  JsonLine ListLine() const;
  JsonLine ReportLine() const;

  // Commands.
  // Binds three sockets to ephemeral ports of the address.
  base::Outcome<void> Open(base::Ipv4Address address);
  void AddCommands(LineCommands* commands);

 private:
  struct Balancer {
    base::Endpoint m_traffic;
    bool m_ready = false;
    std::shared_ptr<ReadinessPoll> m_poll;  // null: always ready
  };

  struct Counters {
    std::uint64_t m_from_callers = 0;
    std::uint64_t m_from_servers = 0;
    std::uint64_t m_from_balancers = 0;
    std::uint64_t m_no_balancer = 0;
    std::uint64_t m_unknown_caller = 0;
  };

  CommandResult AddBalancer(const LineCommands::Words& words);
  // `lose callers|servers CALLER_IP`: drops the packets of the caller's current
  // flows that arrive from callers, or those that arrive from servers.
  CommandResult DropFlows(const LineCommands::Words& words);
  bool ShouldDrop(DropSide from, UdpPort::Bytes packet);
  CommandResult RemoveBalancer(const LineCommands::Words& words);
  void SetReady(const std::string& name, bool ready);
  void RebuildReadyList();
  void HandleFromCaller(UdpPort::Bytes packet, base::Endpoint source);
  void HandleFromServer(UdpPort::Bytes packet, base::Endpoint source);
  void HandleFromBalancer(UdpPort::Bytes packet);
  void SendToBalancer(UdpPort::Bytes packet, base::Ipv4Address source);

  EventLoop* m_loop;
  base::Random m_random;
  std::uint64_t m_seed;
  UdpSourcePool m_sources;
  std::unique_ptr<UdpPort> m_callers;
  std::unique_ptr<UdpPort> m_servers;
  std::unique_ptr<UdpPort> m_from_balancers;
  std::map<std::string, Balancer> m_balancers;
  std::vector<base::Endpoint> m_ready;
  std::unordered_map<base::Ipv4Address, base::Endpoint> m_caller_endpoints;
  std::vector<FlowDropFilter> m_drop_filters;
  Counters m_counters;
};

}  // namespace stand_ins

#endif  // STANDINS_FABRIC_H_
