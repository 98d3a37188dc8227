#include "LibEventLoop/http_text_server.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <restinio/all.hpp>
#include <utility>

#include "LibBase/time.h"
#include "LibEventLoop/http_listener.h"

namespace event_loop {

namespace {

// More than the balancers of a large fleet, which may fetch a change from one
// of them at the same time.
constexpr std::size_t kMaximumConnections = 128;
// At the limit of connections, a connection may be closed if it has waited for
// its request for this long. A busy client may need several turns of its
// processor, and a poll of readiness may wait for twice this time.
constexpr base::Duration kMinimumRequestTime = std::chrono::milliseconds(200);
// A connection whose response is being written may be closed after this time.
// Followers give up earlier.
constexpr base::Duration kMinimumResponseTime = std::chrono::milliseconds(1000);
constexpr std::size_t kMaximumUrlBytes = 512;
constexpr std::size_t kMaximumHeaderFields = 32;
// Clients give up earlier; readiness polls do so after half a second.
constexpr std::chrono::seconds kClientTimeout{5};

// The reason phrase of a status (RFC 9110, section 15). Clients ignore it, and
// it may be empty.
std::string_view ReasonOf(std::uint16_t status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 503:
      return "Service Unavailable";
    default:
      return "";
  }
}

HttpListenerSettings MakeSettings() {
  HttpListenerSettings settings;
  settings.read_next_http_message_timelimit(kClientTimeout)
      .write_http_response_timelimit(kClientTimeout)
      .handle_request_timeout(kClientTimeout)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(kMaximumUrlBytes)
                                    .max_field_count(kMaximumHeaderFields)
                                    .max_body_size(0));
  return settings;
}

}  // namespace

struct HttpTextServer::Server {
  Server(asio::io_context& context, Handler handler, OnProblem on_problem)
      : m_handler(std::move(handler)),
        m_listener(
            context,
            MakeSettings(),
            {kMaximumConnections, kMinimumRequestTime, kMinimumResponseTime},
            [this](const restinio::request_handle_t& request) {
              return Respond(request);
            },
            std::move(on_problem)) {}

  restinio::request_handling_status_t Respond(
      const restinio::request_handle_t& request) const {
    const bool is_get =
        request->header().method() == restinio::http_method_get();
    TextResponse response =
        is_get ? m_handler(std::string(request->header().path()))
               : TextResponse{405, "only GET is served\n"};
    request
        ->create_response({restinio::http_status_code_t(response.m_status),
                           std::string(ReasonOf(response.m_status))})
        .append_header(restinio::http_field::content_type,
                       std::string(response.m_content_type))
        .set_body(std::move(response.m_body))
        .done();
    return restinio::request_accepted();
  }

  Handler m_handler;
  HttpListener m_listener;
};

base::Outcome<std::unique_ptr<HttpTextServer>> HttpTextServer::Create(
    asio::io_context& context,
    base::Endpoint endpoint,
    Handler handler,
    OnProblem on_problem) {
  auto server = std::make_unique<Server>(context, std::move(handler),
                                         std::move(on_problem));
  if (const auto error = server->m_listener.Listen(endpoint))
    return error;
  return std::unique_ptr<HttpTextServer>(new HttpTextServer(std::move(server)));
}

HttpTextServer::HttpTextServer(std::unique_ptr<Server> server)
    : m_server(std::move(server)) {}

HttpTextServer::~HttpTextServer() = default;

base::Endpoint HttpTextServer::endpoint() const {
  return m_server->m_listener.endpoint();
}

}  // namespace event_loop
