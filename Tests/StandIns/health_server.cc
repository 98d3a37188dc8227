#include "StandIns/health_server.h"

#include <cstdio>
#include <exception>
#include <system_error>
#include <utility>

#include <restinio/all.hpp>

#include "LibBase/asio_endpoint.h"
#include "StandIns/event_loop.h"

namespace stand_ins {

namespace {

using ServerTraits =
    restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                     restinio::null_logger_t>;
using Server = restinio::http_server_t<ServerTraits>;

restinio::request_handling_status_t Respond(
    const restinio::request_handle_t& request,
    restinio::http_status_line_t status,
    std::string body) {
  return request->create_response(std::move(status))
      .append_header(restinio::http_field::content_type, "application/json")
      .set_body(std::move(body))
      .done();
}

restinio::request_handling_status_t HandleRequest(
    const restinio::request_handle_t& request,
    const HealthServer::Handlers& handlers) {
  const auto path = request->header().path();
  if (request->header().method() != restinio::http_method_get())
    return Respond(request, restinio::status_method_not_allowed(), "{}");
  if (path == "/load")
    return Respond(request, restinio::status_ok(), handlers.m_load());
  if (path != "/health")
    return Respond(request, restinio::status_not_found(), "{}");
  HealthServer::Response response = handlers.m_health();
  return Respond(request,
                 response.m_healthy ? restinio::status_ok()
                                    : restinio::status_service_unavailable(),
                 std::move(response.m_body));
}

}  // namespace

class HealthServer::Implementation {
 public:
  Implementation(EventLoop* loop, base::Ipv4Address address, Handlers handlers)
      : m_server(restinio::external_io_context(loop->Context()),
                 [&](auto& settings) {
                   Configure(settings, address, std::move(handlers));
                 }) {
    m_server.open_sync();
  }

  ~Implementation() {
    try {
      m_server.close_sync();
    } catch (const std::exception& error) {
      std::fprintf(stderr, "cannot close the health server: %s\n",
                   error.what());
    }
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  base::Endpoint Local() const { return m_local; }

 private:
  template <typename Settings>
  void Configure(Settings& settings,
                 base::Ipv4Address address,
                 Handlers handlers) {
    settings.address(base::ToString(address))
        .port(0)
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          m_local = base::FromAsio(acceptor.local_endpoint());
        })
        .request_handler([handlers = std::move(handlers)](const auto& request) {
          return HandleRequest(request, handlers);
        });
  }

  base::Endpoint m_local;
  Server m_server;
};

base::Outcome<std::unique_ptr<HealthServer>> HealthServer::Open(
    EventLoop* loop,
    base::Ipv4Address address,
    Handlers handlers) {
  try {
    return std::unique_ptr<HealthServer>(new HealthServer(
        std::make_unique<Implementation>(loop, address, std::move(handlers))));
  } catch (const std::exception&) {
    return std::make_error_code(std::errc::address_not_available);
  }
}

HealthServer::HealthServer(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation)) {}

HealthServer::~HealthServer() = default;

base::Endpoint HealthServer::LocalEndpoint() const {
  return m_implementation->Local();
}

}  // namespace stand_ins
