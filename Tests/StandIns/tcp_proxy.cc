#include "StandIns/tcp_proxy.h"

#include <system_error>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "StandIns/event_loop.h"
#include "StandIns/tcp_proxy_connection.h"

namespace stand_ins {

TcpProxy::TcpProxy(EventLoop* loop, FaultPlan* plan, base::Endpoint target)
    : m_loop(loop),
      m_plan(plan),
      m_target(target),
      m_acceptor(loop->Context()) {}

base::Endpoint TcpProxy::LocalEndpoint() const {
  std::error_code error;
  const auto local = m_acceptor.local_endpoint(error);
  return error ? base::Endpoint{} : base::FromAsio(local);
}

JsonLine TcpProxy::ReportLine() const {
  std::uint64_t open = 0;
  for (const auto& connection : m_connections)
    open += connection->IsClosed() ? 0 : 1;
  JsonLine line("report");
  line.Add("accepted", m_accepted).Add("open", open);
  return line;
}

base::Outcome<void> TcpProxy::Open(base::Endpoint listen) {
  std::error_code error;
  m_acceptor.open(asio::ip::tcp::v4(), error);
  if (!error)
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    m_acceptor.bind(base::ToAsio<asio::ip::tcp>(listen), error);
  if (!error)
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return error;
  AcceptNext();
  return base::Success();
}

void TcpProxy::AcceptNext() {
  m_acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error)
          HandleAccepted(std::move(socket));
        AcceptNext();
      });
}

void TcpProxy::HandleAccepted(asio::ip::tcp::socket socket) {
  ++m_accepted;
  RemoveClosedConnections();
  if (m_connections.size() >= kMaximumConnections)
    return;
  const auto connection =
      std::make_shared<TcpProxyConnection>(m_loop, m_plan, std::move(socket));
  if (m_plan->DropsConnections()) {
    connection->Reset();
    return;
  }
  m_connections.push_back(connection);
  connection->Start(m_target);
}

void TcpProxy::RemoveClosedConnections() {
  std::erase_if(m_connections,
                [](const auto& connection) { return connection->IsClosed(); });
}

void TcpProxy::ApplyRules() {
  RemoveClosedConnections();
  for (const auto& connection : m_connections) {
    if (m_plan->DropsConnections())
      connection->Reset();
    else
      connection->Resume();
  }
}

}  // namespace stand_ins
