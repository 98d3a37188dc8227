// An HTTP/1.1 server that responds to GET requests with texts: readiness,
// metrics, status. Limits the connections, the size of requests and the time
// that a client may take. At the limit of connections, or if the process has no
// free descriptor, a new connection takes the place of the one that has waited
// for its request for longest: silent clients can't keep others from a
// response.

#ifndef LIBEVENTLOOP_HTTP_TEXT_SERVER_H_
#define LIBEVENTLOOP_HTTP_TEXT_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibEventLoop/listener_problem.h"

namespace asio {
class io_context;
}  // namespace asio

namespace event_loop {

struct TextResponse {
  std::uint16_t m_status = 200;
  std::string m_body;
  std::string_view m_content_type = "text/plain; charset=utf-8";
};

// An HttpTextServer must be used and destroyed on the thread that runs the
// io_context.
class HttpTextServer {
 public:
  // Returns the response to a GET of `path`, which has no query.
  using Handler = std::function<TextResponse(std::string_view path)>;
  // Called once for each occurrence of a problem.
  using OnProblem = OnListenerProblem;

  // Listens on `endpoint`; with port 0 the system chooses a port. Errors: any
  // system error.
  static base::Outcome<std::unique_ptr<HttpTextServer>> Create(
      asio::io_context& context,
      base::Endpoint endpoint,
      Handler handler,
      OnProblem on_problem = {});
  // Closes all connections.
  ~HttpTextServer();
  HttpTextServer(const HttpTextServer&) = delete;
  HttpTextServer& operator=(const HttpTextServer&) = delete;

  // Queries.
  base::Endpoint endpoint() const;

 private:
  struct Server;

  explicit HttpTextServer(std::unique_ptr<Server> server);

  std::unique_ptr<Server> m_server;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_HTTP_TEXT_SERVER_H_
