#include "LibConsole/admin_server.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <restinio/all.hpp>
#include <utility>

#include "LibConsole/console.h"
#include "LibConsole/request.h"
#include "LibEventLoop/http_listener.h"

namespace console {

namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxUrlBytes = 2048;
constexpr std::size_t kMaxHeaderNameBytes = 128;
constexpr std::size_t kMaxHeaderValueBytes = 8192;
constexpr std::size_t kMaxHeaderCount = 64;
// Large enough for a document of the maximum size, encoded as the fields of a
// form.
constexpr std::uint64_t kMaxBodyBytes = 8'000'000;
constexpr std::chrono::seconds kReadTimeout{10};
constexpr std::chrono::seconds kWriteTimeout{10};
// Longer than a submission takes to reach its outcome.
constexpr std::chrono::seconds kHandleTimeout{30};

// At the limit of connections, a connection may be closed if it has waited for
// its request for this long. A document takes a second on a slow path.
constexpr base::Duration kMinimumRequestTime = std::chrono::milliseconds(1000);

Method MethodOf(const restinio::http_method_id_t& method) {
  if (method == restinio::http_method_get())
    return Method::kGet;
  if (method == restinio::http_method_post())
    return Method::kPost;
  return Method::kOther;
}

Request Convert(const restinio::request_t& request) {
  const auto& header = request.header();
  Request converted;
  converted.m_method = MethodOf(header.method());
  converted.m_path = std::string(header.path());
  converted.m_query = std::string(header.query());
  converted.m_host = header.get_field_or(restinio::http_field::host, "");
  if (const auto origin = header.opt_value_of(restinio::http_field::origin))
    converted.m_origin = std::string(*origin);
  converted.m_body = request.body();
  return converted;
}

void Send(const restinio::request_handle_t& request, Response response) {
  const auto code = static_cast<std::uint16_t>(response.m_status);
  const std::string reason(NameOf(kStatusReasons, response.m_status));
  request
      ->create_response(
          {restinio::http_status_code_t(code), std::string(reason)})
      .append_header(restinio::http_field::content_type,
                     response.m_content_type)
      .append_header(restinio::http_field::cache_control, "no-store")
      .append_header("X-Content-Type-Options", "nosniff")
      .append_header("Referrer-Policy", "same-origin")
      .append_header("Content-Security-Policy",
                     "default-src 'none'; style-src 'self'; form-action "
                     "'self'; frame-ancestors 'none'; base-uri 'none'")
      .set_body(std::move(response.m_body))
      .done();
}

event_loop::HttpListenerSettings MakeSettings() {
  event_loop::HttpListenerSettings settings;
  settings.max_pipelined_requests(1)
      .read_next_http_message_timelimit(kReadTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .handle_request_timeout(kHandleTimeout)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(kMaxUrlBytes)
                                    .max_field_name_size(kMaxHeaderNameBytes)
                                    .max_field_value_size(kMaxHeaderValueBytes)
                                    .max_field_count(kMaxHeaderCount)
                                    .max_body_size(kMaxBodyBytes));
  return settings;
}

}  // namespace

// The console and the listener that serves it. Defined here to keep RESTinio
// out of the header.
struct AdminServer::Server {
  Server(asio::io_context& context,
         const ConsoleCallbacks& callbacks,
         const std::string& operator_token,
         event_loop::OnListenerProblem on_problem)
      : m_console(callbacks, operator_token),
        m_listener(
            context,
            MakeSettings(),
            {kMaxConnections, kMinimumRequestTime, kHandleTimeout},
            [this](const restinio::request_handle_t& request) {
              m_console.Handle(Convert(*request),
                               [request](const Response& response) {
                                 Send(request, response);
                               });
              return restinio::request_accepted();
            },
            std::move(on_problem)) {}

  Console m_console;
  event_loop::HttpListener m_listener;
};

base::Outcome<std::unique_ptr<AdminServer>> AdminServer::Create(
    asio::io_context& context,
    const base::Endpoint& endpoint,
    const ConsoleCallbacks& callbacks,
    const std::string& operator_token,
    event_loop::OnListenerProblem on_problem) {
  auto server = std::make_unique<Server>(context, callbacks, operator_token,
                                         std::move(on_problem));
  if (const auto error = server->m_listener.Listen(endpoint))
    return error;
  const base::Endpoint bound = server->m_listener.endpoint();
  return std::unique_ptr<AdminServer>(
      new AdminServer(std::move(server), bound));
}

AdminServer::AdminServer(std::unique_ptr<Server> server,
                         base::Endpoint endpoint)
    : m_server(std::move(server)), m_endpoint(endpoint) {}

AdminServer::~AdminServer() = default;

}  // namespace console
