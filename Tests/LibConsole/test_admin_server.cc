#include <doctest/doctest.h>
#include <sys/resource.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "LibConsole/admin_server.h"
#include "LibConsole/fake_balancer.h"
#include "LibHttp/client.h"

using console::AdminServer;
using console::FakeBalancer;

namespace {

// Longer than the server's timeout for reading a request.
constexpr std::chrono::seconds kDeadline{20};

class AdminServerFixture {
 public:
  AdminServerFixture() {
    const auto any_port = base::ParseEndpoint("127.0.0.1:0");
    auto created = AdminServer::Create(
        m_context, *any_port, m_balancer.MakeCallbacks(), console::kFakeToken);
    REQUIRE(created);
    m_server = std::move(created).value();
  }

  asio::io_context& context() { return m_context; }
  FakeBalancer& balancer() { return m_balancer; }
  base::Endpoint Endpoint() const { return m_server->endpoint(); }

  base::Outcome<http::Response> SendRequest(http::Request request) {
    request.m_endpoint = Endpoint();
    http::Client client(m_context);
    std::optional<base::Outcome<http::Response>> result;
    client.Send(request, [&](auto outcome) { result = std::move(outcome); });
    RunUntil([&] { return result.has_value(); });
    return std::move(*result);
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    const auto end = std::chrono::steady_clock::now() + kDeadline;
    while (!condition()) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      m_context.restart();
      m_context.run_one_for(kDeadline);
    }
  }

 private:
  asio::io_context m_context;
  FakeBalancer m_balancer;
  std::unique_ptr<AdminServer> m_server;
};

}  // namespace

TEST_CASE("the console is served over HTTP with restrictive headers") {
  AdminServerFixture fixture;
  http::Request request;
  request.m_path = "/";

  const auto response = fixture.SendRequest(request);

  REQUIRE(response);
  CHECK(response.value().m_status == 200);
  const auto policy =
      FindHeader(response.value().m_headers, "Content-Security-Policy");
  REQUIRE(policy);
  CHECK(policy->find("default-src 'none'") == 0);
}

TEST_CASE("a post from another site is refused over HTTP") {
  AdminServerFixture fixture;
  http::Request request;
  request.m_method = http::Method::kPost;
  request.m_path = "/submit";
  request.m_headers = {{"Origin", "http://evil.example"}};
  request.m_body = "base_version=12";

  const auto response = fixture.SendRequest(request);

  REQUIRE(response);
  CHECK(response.value().m_status == 403);
}

TEST_CASE(
    "the server drops a request with a body over the limit and still serves") {
  AdminServerFixture fixture;
  http::Request request;
  request.m_method = http::Method::kPost;
  request.m_path = "/submit";
  request.m_body.resize(9'000'000, 'a');

  CHECK_FALSE(fixture.SendRequest(request));
  request = {};
  request.m_path = "/ready";
  CHECK(fixture.SendRequest(request));
}

TEST_CASE("clients that reset before they are accepted use up no connection") {
  constexpr int kResets = 100;
  AdminServerFixture fixture;
  for (int count = 0; count < kResets; ++count) {
    asio::ip::tcp::socket client(fixture.context());
    client.connect(base::ToAsio<asio::ip::tcp>(fixture.Endpoint()));
    client.set_option(asio::socket_base::linger(true, 0));
    client.close();
    fixture.context().restart();
    while (fixture.context().poll() > 0) {
    }
  }
  http::Request request;
  request.m_path = "/ready";

  CHECK(fixture.SendRequest(request));
}

TEST_CASE(
    "the console accepts again after accept failed for want of descriptors") {
  AdminServerFixture fixture;
  asio::ip::tcp::socket client(fixture.context(), asio::ip::tcp::v4());
  rlimit former{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const rlimit no_descriptors{0, former.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &no_descriptors) == 0);
  client.connect(base::ToAsio<asio::ip::tcp>(fixture.Endpoint()));
  while (fixture.context().poll() > 0) {
  }
  REQUIRE(setrlimit(RLIMIT_NOFILE, &former) == 0);
  http::Request request;
  request.m_path = "/ready";

  CHECK(fixture.SendRequest(request));
}

TEST_CASE("a client that stops in the middle of a request is disconnected") {
  AdminServerFixture fixture;
  asio::ip::tcp::socket socket(fixture.context());
  socket.connect({asio::ip::address_v4::loopback(), fixture.Endpoint().m_port});
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: ")));
  bool closed = false;
  char byte = 0;
  asio::async_read(socket, asio::buffer(&byte, 1),
                   [&](const std::error_code&, std::size_t) { closed = true; });

  fixture.RunUntil([&] { return closed; });

  CHECK(closed);
}
