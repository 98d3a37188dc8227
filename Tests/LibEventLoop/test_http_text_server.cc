#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/asio_endpoint.h"
#include "LibEventLoop/http_text_server.h"
#include "LibHttp/client.h"

namespace event_loop {

namespace {

constexpr std::chrono::seconds kResponseTimeout{5};
// A router's readiness poll gives up after this time.
constexpr std::chrono::milliseconds kReadinessPollTimeout{500};
// More than the buffers of two sockets.
constexpr std::size_t kLargeBytes = 8UL * 1024 * 1024;

// Limits the descriptors of the process while it exists.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &m_former) == 0);
    const rlimit lowered{limit, m_former.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_former); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit m_former{};
};

struct ServerFixture {
  ServerFixture() {
    auto server = HttpTextServer::Create(
        m_context, {base::Ipv4Address(0x7F000001), 0},
        [](std::string_view path) {
          if (path == "/large")
            return TextResponse{200, std::string(kLargeBytes, 'a')};
          return path == "/there" ? TextResponse{200, "yes\n"}
                                  : TextResponse{404, "no\n"};
        });
    REQUIRE(server);
    m_server = std::move(server.value());
  }

  asio::ip::tcp::endpoint ServerEndpoint() const {
    return base::ToAsio<asio::ip::tcp>(m_server->endpoint());
  }

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket client(m_context);
    client.connect(ServerEndpoint());
    return client;
  }

  std::vector<asio::ip::tcp::socket> ConnectSilently(int count) {
    std::vector<asio::ip::tcp::socket> clients;
    clients.reserve(static_cast<std::size_t>(count));
    for (int opened = 0; opened < count; ++opened)
      clients.push_back(Connect());
    return clients;
  }

  void RunReadyHandlers() {
    while (m_context.poll() > 0) {
    }
  }

  http::Response Get(const std::string& path,
                     base::Duration timeout = kResponseTimeout) {
    http::Request request;
    request.m_timeout = timeout;
    request.m_connect_timeout = timeout;
    request.m_endpoint = m_server->endpoint();
    request.m_path = path;
    std::optional<http::Response> response;
    m_client.Send(request, [&](const base::Outcome<http::Response>& result) {
      REQUIRE(result);
      response = result.value();
    });
    const auto deadline = std::chrono::steady_clock::now() + kResponseTimeout;
    while (!response && std::chrono::steady_clock::now() < deadline)
      m_context.run_one_until(deadline);
    REQUIRE(response);
    return *response;
  }

  asio::io_context m_context{1};
  std::unique_ptr<HttpTextServer> m_server;
  http::Client m_client{m_context};
};

}  // namespace

TEST_CASE("a known path gets its text, an unknown path gets status 404") {
  ServerFixture fixture;

  CHECK(fixture.Get("/there").m_body == "yes\n");
  CHECK(fixture.Get("/elsewhere").m_status == 404);
}

TEST_CASE("another method than GET gets status 405 with its reason") {
  ServerFixture fixture;
  asio::ip::tcp::socket client(fixture.m_context);
  client.connect(base::ToAsio<asio::ip::tcp>(fixture.m_server->endpoint()));
  asio::write(client, asio::buffer(
                          std::string("DELETE /there HTTP/1.1\r\n"
                                      "Host: a\r\nConnection: close\r\n\r\n")));

  std::string response;
  asio::async_read_until(client, asio::dynamic_buffer(response), "\r\n",
                         [](const std::error_code&, std::size_t) {});
  const auto deadline = std::chrono::steady_clock::now() + kResponseTimeout;
  while (response.find("\r\n") == std::string::npos &&
         std::chrono::steady_clock::now() < deadline)
    fixture.m_context.run_one_until(deadline);

  CHECK(response.starts_with("HTTP/1.1 405 Method Not Allowed\r\n"));
}

TEST_CASE(
    "a client that sends malformed bytes does not prevent responses to other "
    "clients") {
  ServerFixture fixture;
  asio::ip::tcp::socket garbage(fixture.m_context);
  garbage.connect(base::ToAsio<asio::ip::tcp>(fixture.m_server->endpoint()));
  asio::write(garbage, asio::buffer(std::string("\x01\x02garbage\r\n\r\n")));

  CHECK(fixture.Get("/there").m_status == 200);
}

TEST_CASE(
    "a server accepts again after accept failed for want of descriptors") {
  ServerFixture fixture;
  asio::ip::tcp::socket client(fixture.m_context, asio::ip::tcp::v4());
  {
    const DescriptorLimit no_descriptors(0);
    client.connect(fixture.ServerEndpoint());
    fixture.RunReadyHandlers();
  }

  CHECK(fixture.Get("/there").m_status == 200);
}

TEST_CASE(
    "a server serves one client at a time while descriptors are used up") {
  ServerFixture fixture;
  asio::ip::tcp::socket client(fixture.m_context, asio::ip::tcp::v4());
  const int highest = dup(0);
  REQUIRE(highest >= 0);
  const DescriptorLimit used_up(static_cast<rlim_t>(highest) + 1);
  client.connect(fixture.ServerEndpoint());
  asio::write(client, asio::buffer(std::string("GET /there HTTP/1.1\r\n"
                                               "Host: a\r\n\r\n")));

  std::string response;
  asio::async_read_until(client, asio::dynamic_buffer(response), "\r\n",
                         [](const std::error_code&, std::size_t) {});
  const auto deadline = std::chrono::steady_clock::now() + kResponseTimeout;
  while (response.find("\r\n") == std::string::npos &&
         std::chrono::steady_clock::now() < deadline)
    fixture.m_context.run_one_until(deadline);
  close(highest);

  CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
}

TEST_CASE("clients that reset before they are accepted use up no connection") {
  constexpr int kResets = 100;
  ServerFixture fixture;
  for (int count = 0; count < kResets; ++count) {
    asio::ip::tcp::socket client = fixture.Connect();
    client.set_option(asio::socket_base::linger(true, 0));
    client.close();
    fixture.RunReadyHandlers();
  }

  CHECK(fixture.Get("/there").m_status == 200);
}

TEST_CASE("silent connections do not keep a readiness poll from its answer") {
  for (const int silent : {48, 200}) {
    CAPTURE(silent);
    ServerFixture fixture;
    const auto clients = fixture.ConnectSilently(silent);

    CHECK(fixture.Get("/there", kReadinessPollTimeout).m_status == 200);
  }
}

TEST_CASE(
    "clients that connect together all get their responses, also above the "
    "limit of connections") {
  ServerFixture fixture;
  auto clients = fixture.ConnectSilently(400);
  fixture.RunReadyHandlers();
  std::size_t responses = 0;
  std::vector<std::string> received(clients.size());
  for (std::size_t index = 0; index < clients.size(); ++index) {
    asio::write(clients[index],
                asio::buffer(std::string("GET /there HTTP/1.1\r\n"
                                         "Host: a\r\n\r\n")));
    asio::async_read_until(clients[index],
                           asio::dynamic_buffer(received[index]), "yes\n",
                           [&](const std::error_code& error, std::size_t) {
                             responses += error ? 0 : 1;
                           });
  }

  const auto deadline = std::chrono::steady_clock::now() + kResponseTimeout;
  while (responses < clients.size() &&
         std::chrono::steady_clock::now() < deadline)
    fixture.m_context.run_one_until(deadline);

  CHECK(responses == clients.size());
}

TEST_CASE(
    "silent connections do not end a response that a client still reads") {
  ServerFixture fixture;
  asio::ip::tcp::socket reader = fixture.Connect();
  asio::write(reader,
              asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: a\r\n"
                                       "Connection: close\r\n\r\n")));
  fixture.RunReadyHandlers();
  const auto clients = fixture.ConnectSilently(200);
  fixture.RunReadyHandlers();

  std::string response;
  bool has_ended = false;
  asio::async_read(
      reader, asio::dynamic_buffer(response),
      [&](const std::error_code&, std::size_t) { has_ended = true; });
  const auto deadline = std::chrono::steady_clock::now() + kResponseTimeout;
  while (!has_ended && std::chrono::steady_clock::now() < deadline)
    fixture.m_context.run_one_until(deadline);

  CHECK(response.size() > kLargeBytes);
}

}  // namespace event_loop
