#include <doctest/doctest.h>
#include <sys/resource.h>

#include <asio.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "LibHttp/client.h"
#include "LibHttp/error.h"

using asio::ip::tcp;
using http::Error;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Accepts one connection, reads the head of a request, sends `response` and
// closes the connection. If `response` is nullopt, sends nothing and keeps the
// connection open.
class SingleResponseServer {
 public:
  SingleResponseServer(asio::io_context& context,
                       std::optional<std::string> response)
      : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_socket(context),
        m_response(std::move(response)) {
    m_acceptor.async_accept(m_socket, [this](const std::error_code& error) {
      // On an error, the server may already be destroyed.
      if (!error)
        ReadRequest();
    });
  }

  base::Endpoint ListeningEndpoint() const {
    return {base::Ipv4Address(0x7f000001), m_acceptor.local_endpoint().port()};
  }

 private:
  void ReadRequest() {
    asio::async_read_until(m_socket, asio::dynamic_buffer(m_request),
                           "\r\n\r\n",
                           [this](const std::error_code& error, std::size_t) {
                             if (!error)
                               SendResponse();
                           });
  }

  void SendResponse() {
    if (!m_response)
      return;
    asio::write(m_socket, asio::buffer(*m_response));
    m_socket.close();
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::optional<std::string> m_response;
  std::string m_request;
};

base::Outcome<http::Response> SendTo(asio::io_context& context,
                                     base::Endpoint endpoint) {
  http::Client client(context);
  http::Request request;
  request.m_endpoint = endpoint;
  request.m_path = "/";
  request.m_timeout = milliseconds(200);
  std::optional<base::Outcome<http::Response>> result;
  client.Send(request, [&](auto outcome) { result = std::move(outcome); });
  const auto deadline = base::Clock::now() + seconds(10);
  while (!result && base::Clock::now() < deadline)
    context.run_one_for(milliseconds(100));
  REQUIRE(result);
  CHECK(client.OpenRequests() == 0);
  return *result;
}

}  // namespace

TEST_CASE("the client reports the response or the cause of the failure") {
  asio::io_context context;

  SUBCASE("complete response") {
    const SingleResponseServer server(
        context, "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno");
    const auto outcome = SendTo(context, server.ListeningEndpoint());
    REQUIRE(outcome);
    CHECK(outcome.value().m_status == 404);
    CHECK(outcome.value().m_body == "no");
  }
  SUBCASE("no response within the timeout") {
    const SingleResponseServer server(context, std::nullopt);
    const auto error = SendTo(context, server.ListeningEndpoint()).error();
    CHECK(error == Error::kTimedOut);
    CHECK(http::MayHaveTakenEffect(error));
  }
  SUBCASE("connection closed before the response") {
    const SingleResponseServer server(context, "");
    const auto error = SendTo(context, server.ListeningEndpoint()).error();
    CHECK(error == Error::kClosedBeforeResponse);
    CHECK(http::MayHaveTakenEffect(error));
  }
  SUBCASE("connection closed after a part of the body") {
    const SingleResponseServer server(
        context, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell");
    const auto error = SendTo(context, server.ListeningEndpoint()).error();
    CHECK(error == Error::kIncompleteResponse);
    CHECK(http::MayHaveTakenEffect(error));
  }
  SUBCASE("no listening socket") {
    base::Endpoint endpoint;
    {
      const SingleResponseServer server(context, "");
      endpoint = server.ListeningEndpoint();
    }
    const auto error = SendTo(context, endpoint).error();
    CHECK(error == Error::kConnectFailed);
    CHECK_FALSE(http::MayHaveTakenEffect(error));
  }
}

TEST_CASE(
    "a request without a free descriptor fails without blame on the server") {
  asio::io_context context;
  const SingleResponseServer server(context, "HTTP/1.1 200 OK\r\n\r\n");
  rlimit former{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const rlimit no_descriptors{0, former.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &no_descriptors) == 0);

  const auto outcome = SendTo(context, server.ListeningEndpoint());
  setrlimit(RLIMIT_NOFILE, &former);

  REQUIRE_FALSE(outcome);
  CHECK(outcome.error() == Error::kNoSocket);
  CHECK_FALSE(http::MayHaveTakenEffect(outcome.error()));
}

TEST_CASE("the bytes of a response that stalls or breaks off are counted") {
  asio::io_context context;
  const SingleResponseServer server(
      context, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  http::Client client(context);
  http::Request request;
  request.m_endpoint = server.ListeningEndpoint();
  request.m_path = "/";
  client.Send(request, [](auto outcome) { CHECK_FALSE(outcome); });
  while (client.OpenRequests() > 0)
    context.run_one_for(milliseconds(100));

  CHECK(client.ReceivedBodyBytes() == 3);
}

TEST_CASE("the callback of a cancelled request is not called") {
  asio::io_context context;
  const std::string response = "HTTP/1.1 200 OK\r\n\r\n";
  const SingleResponseServer server(context, response);
  const SingleResponseServer other_server(context, response);
  http::Client client(context);
  http::Request request;
  request.m_endpoint = server.ListeningEndpoint();
  request.m_path = "/";
  bool called = false;

  client.Cancel(client.Send(request, [&](auto) { called = true; }));
  // The second request runs the io_context, which would also call the callback
  // of the first one.
  const auto other = SendTo(context, other_server.ListeningEndpoint());

  CHECK(other);
  CHECK_FALSE(called);
  CHECK(client.OpenRequests() == 0);
}
