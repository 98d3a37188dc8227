// A proxy that delays, stops and resets TCP connections to one target.

#ifndef STANDINS_TCP_PROXY_H_
#define STANDINS_TCP_PROXY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <asio.hpp>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "StandIns/fault_plan.h"
#include "StandIns/json_line.h"

namespace stand_ins {

class EventLoop;
class TcpProxyConnection;

class TcpProxy {
 public:
  // `loop` and `plan` must outlive the proxy.
  TcpProxy(EventLoop* loop, FaultPlan* plan, base::Endpoint target);

  // Queries.
  base::Endpoint LocalEndpoint() const;
  JsonLine ReportLine() const;

  // Commands.
  base::Outcome<void> Open(base::Endpoint listen);
  // Directs new connections to `target`.
  void SetTarget(base::Endpoint target) { m_target = target; }
  // Applies changed rules: resets all connections if the rules drop
  // connections, otherwise resumes the directions that no rule stops any more.
  void ApplyRules();

 private:
  static constexpr std::size_t kMaximumConnections = 4096;

  void AcceptNext();
  void HandleAccepted(asio::ip::tcp::socket socket);
  void RemoveClosedConnections();

  EventLoop* m_loop;
  FaultPlan* m_plan;
  base::Endpoint m_target;
  asio::ip::tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<TcpProxyConnection>> m_connections;
  std::uint64_t m_accepted = 0;
};

}  // namespace stand_ins

#endif  // STANDINS_TCP_PROXY_H_
