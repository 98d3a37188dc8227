#include "LibEventLoop/http_listener.h"

#include <asio/io_context.hpp>
#include <utility>

namespace event_loop {

HttpListener::HttpListener(asio::io_context& context,
                           HttpListenerSettings settings,
                           HttpConnectionLimits limits,
                           RequestHandler handler,
                           OnListenerProblem on_problem)
    : m_context(context),
      m_handler(std::make_shared<const RequestHandler>(std::move(handler))),
      m_on_problem(std::move(on_problem)),
      m_connections(std::make_shared<HttpConnections>(limits)) {
  using ConnectionSettings =
      restinio::impl::connection_settings_t<HttpListenerTraits>;
  settings
      .connection_state_listener(m_connections)
      // A connection may outlive the listener until the io_context runs next.
      .request_handler([weak = std::weak_ptr<const RequestHandler>(m_handler),
                        connections = m_connections](
                           const restinio::request_handle_t& request) {
        const auto locked = weak.lock();
        if (!locked)
          return restinio::request_rejected();
        connections->OnRequest(request->connection_id());
        return (*locked)(request);
      });
  auto connection_settings = std::make_shared<ConnectionSettings>(
      settings,
      restinio::impl::create_parser_settings<
          HttpListenerTraits::http_methods_mapper_t>(),
      settings.timer_factory()->create(context));
  m_factory = std::make_unique<ConnectionFactory>(
      std::move(connection_settings), settings.socket_options_setter());
}

HttpListener::~HttpListener() {
  m_connections->CloseAll();
  if (m_listener)
    m_listener->Close();
}

std::error_code HttpListener::Listen(base::Endpoint endpoint) {
  auto listener = TcpListener::Create(
      m_context, endpoint,
      {[this] { return MakeRoom(); },
       [this](asio::ip::tcp::socket socket,
              const asio::ip::tcp::endpoint& peer) {
         Serve(std::move(socket), peer);
       },
       [this](std::error_code error) { OnAcceptFailed(error); }});
  if (!listener)
    return listener.error();
  m_listener = std::move(listener).value();
  m_connections->SetOnClosed([this] { m_listener->OnConnectionClosed(); });
  return {};
}

bool HttpListener::MakeRoom() {
  if (!m_connections->IsFull())
    return true;
  if (!m_connections->CloseOverdue())
    return false;
  Report(ListenerProblem::kConnectionLimit, {});
  return true;
}

void HttpListener::Serve(asio::ip::tcp::socket socket,
                         const asio::ip::tcp::endpoint& peer) {
  using Monitor = restinio::connection_count_limit_types<
      HttpListenerTraits>::lifetime_monitor_t;
  const int descriptor = socket.native_handle();
  try {
    const auto connection = m_factory->create_new_connection(
        std::move(socket), peer, Monitor(nullptr));
    connection->init();
    m_connections->Add(connection->connection_id(), descriptor);
  } catch (const std::system_error& error) {
    Report(ListenerProblem::kAcceptFailed, error.code());
  }
}

// The few descriptors left serve more clients if each client has only the time
// of TcpListener::kRetryDelay for its request.
void HttpListener::OnAcceptFailed(std::error_code error) {
  Report(ListenerProblem::kAcceptFailed, error);
  m_connections->CloseOldest();
}

void HttpListener::Report(ListenerProblem problem,
                          std::error_code error) const {
  if (m_on_problem)
    m_on_problem(problem, error);
}

}  // namespace event_loop
