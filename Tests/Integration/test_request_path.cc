// Guards against a broken request path: caller, fabric, any balancer, backend
// server, and back.

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <vector>

#include "deployment.h"

using std::chrono::seconds;

TEST_CASE("a caller's requests are answered through any balancer") {
  integration::PlatformControl platform;
  integration::DocumentModel document;
  document.m_services["portal"].m_address =
      *base::ParseEndpoint("127.48.0.1:443");
  integration::Deployment deployment(platform, document, {.m_seed = 21});
  for (int i = 1; i <= 4; ++i)
    deployment.AddServer("portal", "portal-" + std::to_string(i));
  const auto version = platform.PutDocument(document.Render("first"), 0);
  REQUIRE(version > 0);
  for (int i = 1; i <= 3; ++i)
    deployment.AddBalancer("entry-" + std::to_string(i));
  deployment.AwaitInForce(version);

  const auto caller =
      deployment.StartCaller("portal", {.m_duration = seconds(3)});
  const auto report = caller->WaitFor("report", seconds(15));

  CHECK(report.get<int>("flows") > 200);
  CHECK(report.get<int>("whole") == report.get<int>("flows"));
  CHECK(report.get<int>("broken") == 0);
  CHECK(report.get<int>("wrong_bytes") == 0);
  CHECK(deployment.SumOverServers("foreign_packets") == 0);
  CHECK(deployment.CountExecutedTwice() == 0);
  for (const std::string& name : deployment.BalancerNames())
    CHECK(deployment.StopBalancer(name) == 0);
}

TEST_CASE("balancers start although half of the TCP ports are in use") {
  integration::PlatformControl platform;
  integration::DocumentModel document;
  integration::Deployment deployment(platform, document, {.m_seed = 22});
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> occupied;
  const auto address = asio::ip::make_address_v4(deployment.BalancerAddress());
  // The default range of ephemeral ports on Linux.
  for (unsigned short port = 32768; port < 61000; port += 2) {
    std::error_code error;
    occupied.emplace_back(context, asio::ip::tcp::v4());
    occupied.back().bind({address, port}, error);
  }
  document.m_services["portal"].m_address =
      *base::ParseEndpoint("127.48.0.1:443");
  deployment.AddServer("portal", "portal-1");
  REQUIRE(platform.PutDocument(document.Render("first"), 0) > 0);
  for (int i = 1; i <= 6; ++i)
    CHECK_NOTHROW(deployment.AddBalancer("entry-" + std::to_string(i)));
}
