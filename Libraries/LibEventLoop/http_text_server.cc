#include "LibEventLoop/http_text_server.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <restinio/all.hpp>
#include <system_error>
#include <utility>

#include "LibBase/asio_endpoint.h"

namespace event_loop {

namespace {

// For readiness polls, a metrics scraper and peers, with a reserve.
constexpr std::size_t kMaximumConnections = 32;
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

struct TextServerTraits : public restinio::default_single_thread_traits_t {
  static constexpr bool use_connection_count_limiter = true;  // NOLINT
};

}  // namespace

struct HttpTextServer::Server {
  using Http = restinio::http_server_t<TextServerTraits>;

  Server(asio::io_context& context, base::Endpoint endpoint, Handler handler)
      : m_handler(std::move(handler)),
        m_http(restinio::external_io_context(context),
               [&](auto& settings) { Configure(settings, endpoint); }) {}

  template <typename Settings>
  void Configure(Settings& settings, base::Endpoint endpoint) {
    settings.address(asio::ip::address_v4(endpoint.m_address.value()))
        .port(endpoint.m_port)
        .max_parallel_connections(kMaximumConnections)
        .read_next_http_message_timelimit(kClientTimeout)
        .write_http_response_timelimit(kClientTimeout)
        .handle_request_timeout(kClientTimeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(kMaximumUrlBytes)
                                      .max_field_count(kMaximumHeaderFields)
                                      .max_body_size(0))
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          m_endpoint = base::FromAsio(acceptor.local_endpoint());
        })
        .request_handler([this](const restinio::request_handle_t& request) {
          return Respond(request);
        });
  }

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
  base::Endpoint m_endpoint;
  Http m_http;
};

base::Outcome<std::unique_ptr<HttpTextServer>> HttpTextServer::Create(
    asio::io_context& context,
    base::Endpoint endpoint,
    Handler handler) {
  try {
    auto server =
        std::make_unique<Server>(context, endpoint, std::move(handler));
    server->m_http.open_sync();
    return std::unique_ptr<HttpTextServer>(
        new HttpTextServer(std::move(server)));
  } catch (const std::system_error& error) {
    return error.code();
  } catch (const std::exception&) {
    return std::make_error_code(std::errc::address_not_available);
  }
}

HttpTextServer::HttpTextServer(std::unique_ptr<Server> server)
    : m_server(std::move(server)) {}

HttpTextServer::~HttpTextServer() {
  try {
    m_server->m_http.close_sync();
  } catch (const std::exception&) {
    // The sockets are closed when the io_context is destroyed.
  }
}

base::Endpoint HttpTextServer::endpoint() const {
  return m_server->m_endpoint;
}

}  // namespace event_loop
