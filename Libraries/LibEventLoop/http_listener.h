// Listens with a TcpListener and passes the connections to RESTinio. RESTinio's
// own acceptor stops for good after a failed accept.

#ifndef LIBEVENTLOOP_HTTP_LISTENER_H_
#define LIBEVENTLOOP_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <restinio/all.hpp>
#include <system_error>

#include "LibBase/ipv4.h"
#include "LibEventLoop/http_connections.h"
#include "LibEventLoop/listener_problem.h"
#include "LibEventLoop/tcp_listener.h"

namespace event_loop {

struct HttpListenerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = HttpConnections;  // NOLINT
};

using HttpListenerSettings = restinio::server_settings_t<HttpListenerTraits>;

// Must be used and destroyed on the thread that runs the io_context.
class HttpListener {
 public:
  using RequestHandler = std::function<restinio::request_handling_status_t(
      const restinio::request_handle_t&)>;

  // `settings` needs no address, request handler or state listener.
  HttpListener(asio::io_context& context,
               HttpListenerSettings settings,
               HttpConnectionLimits limits,
               RequestHandler handler,
               OnListenerProblem on_problem);
  // Closes all connections.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Queries. Only after Listen has succeeded.
  base::Endpoint endpoint() const { return m_listener->endpoint(); }

  // Commands.
  // With port 0 the system chooses a port. Returns the system's error.
  std::error_code Listen(base::Endpoint endpoint);

 private:
  using ConnectionFactory =
      restinio::impl::connection_factory_t<HttpListenerTraits>;

  bool MakeRoom();
  void Serve(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& peer);
  void OnAcceptFailed(std::error_code error);
  void Report(ListenerProblem problem, std::error_code error) const;

  asio::io_context& m_context;
  std::shared_ptr<const RequestHandler> m_handler;
  OnListenerProblem m_on_problem;
  std::shared_ptr<HttpConnections> m_connections;
  std::unique_ptr<ConnectionFactory> m_factory;
  std::shared_ptr<TcpListener> m_listener;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_HTTP_LISTENER_H_
