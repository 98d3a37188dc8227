// A balancer that cannot tell whether its configuration is current leaves the
// fabric's rotation, comes back once it can, and breaks no flow by either.

#include <doctest/doctest.h>

#include <iostream>

#include "programs.h"
#include "scenario.h"

using integration::ChildProcess;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 121;
constexpr auto kOutOfRotationDeadline = integration::kInForceDeadline;
// The first retransmission of an opening (RFC 6298 section 2): one that waits
// less was not lost.
constexpr double kFirstRetransmissionMs = 1000;
constexpr const char* kDisconnectedBalancer = "entry-7";

// Waits until the fabric has found the balancer ready or not.
void AwaitReadiness(ChildProcess& fabric,
                    std::size_t after_line,
                    const std::string& ready) {
  fabric.WaitForLater(after_line, "readiness", kOutOfRotationDeadline,
                      [&ready](const integration::JsonLine& line) {
                        return line.get("name", "") == kDisconnectedBalancer &&
                               line.get("ready", "") == ready;
                      });
}

}  // namespace

TEST_CASE("a balancer whose lease lapsed leaves the rotation and comes back") {
  integration::Scenario scenario(
      {.m_seed = kSeed, .m_fabric_polls_readiness = true});
  integration::Deployment& deployment = scenario.deployment();
  ChildProcess proxy(integration::kStandInTraffic,
                     {"proxy", "--listen", "127.0.0.1:0", "--target",
                      base::ToString(scenario.platform().endpoint()),
                      "--protocol", "tcp", "--seed", std::to_string(kSeed)});
  const auto proxied = base::ParseEndpoint(
      proxy.WaitFor("listening", seconds(10)).get("listen", ""));
  REQUIRE(proxied);
  deployment.SetPlatformEndpoint(*proxied);
  // It hears of versions from its peers and gets documents only by the proxy.
  deployment.SetSettings("mechanisms: {pull_from_peers: false}\n");
  deployment.AddBalancer(kDisconnectedBalancer);
  AwaitReadiness(deployment.Fabric(), 0, "true");
  const auto feeds = deployment.StartCaller(
      integration::kPortal, {.m_kind = "feed",
                             .m_openings_per_second = 40,
                             .m_duration = seconds(16),
                             .m_extra_options = {"--feed-interval-ms", "300"}});
  const auto shorts = deployment.StartCaller(
      integration::kPortal,
      {.m_openings_per_second = 80, .m_duration = seconds(16)});
  feeds->WaitFor("progress", seconds(10), [](const auto& line) {
    return line.get("established", 0) > 60;
  });
  const std::size_t lines = deployment.Fabric().LineCount();

  proxy.SendAndWait("cut both", "done");
  const std::uint64_t version = scenario.Publish("withheld");
  AwaitReadiness(deployment.Fabric(), lines, "false");
  CHECK(
      deployment.Balancer(kDisconnectedBalancer).Lines("lease_lapsed").size() ==
      1);
  shorts->WaitFor("progress", seconds(10), [](const auto& line) {
    return line.get("established", 0) > 600;
  });
  const std::size_t lines_while_out = deployment.Fabric().LineCount();
  proxy.SendAndWait("heal", "done");
  deployment.AwaitInForce(version, seconds(10));
  AwaitReadiness(deployment.Fabric(), lines_while_out, "true");

  for (const auto* caller : {&feeds, &shorts}) {
    const auto report = (*caller)->WaitFor("report", seconds(40));
    integration::PrintFigures("a lapsed lease", kSeed, report);
    CHECK(report.get<int>("broken") == 0);
    CHECK(report.get<int>("unanswered_openings") == 0);
    CHECK(report.get<int>("wrong_bytes") == 0);
    CHECK(report.get<double>("wait_p99_ms") < kFirstRetransmissionMs);
  }
}
