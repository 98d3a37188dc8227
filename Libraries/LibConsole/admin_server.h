// Serves the console over HTTP/1.1 on the admin address. Limits the number of
// connections, the sizes of a request, and the time to read, handle and respond
// to a request.

#ifndef LIBCONSOLE_ADMIN_SERVER_H_
#define LIBCONSOLE_ADMIN_SERVER_H_

#include <memory>
#include <string>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibConsole/console_callbacks.h"
#include "LibEventLoop/listener_problem.h"

namespace asio {
class io_context;
}  // namespace asio

namespace console {

// Must be used and destroyed on the thread that runs the io_context.
class AdminServer {
 public:
  // Listens on `endpoint`; with port 0 the operating system chooses the port.
  // The functions of `callbacks` are called from `context`. A request to submit
  // a document must contain `operator_token`. Errors are operating system
  // errors.
  static base::Outcome<std::unique_ptr<AdminServer>> Create(
      asio::io_context& context,
      const base::Endpoint& endpoint,
      const ConsoleCallbacks& callbacks,
      const std::string& operator_token,
      event_loop::OnListenerProblem on_problem = {});
  // Closes all connections.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Queries.
  // The endpoint that the server listens on.
  const base::Endpoint& endpoint() const { return m_endpoint; }

 private:
  struct Server;

  AdminServer(std::unique_ptr<Server> server, base::Endpoint endpoint);

  std::unique_ptr<Server> m_server;
  base::Endpoint m_endpoint;
};

}  // namespace console

#endif  // LIBCONSOLE_ADMIN_SERVER_H_
