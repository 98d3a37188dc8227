// Guards against a balancer that receives openings while its configuration may
// be outdated: when its lease expires, the balancer leaves the fabric's
// rotation. It returns when it has the current configuration, and neither step
// breaks a flow.

#include <doctest/doctest.h>

#include <iostream>

#include "programs.h"
#include "scenario.h"

using integration::ChildProcess;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 121;
constexpr auto kOutOfRotationDeadline = integration::kInForceDeadline;
// The time until the first retransmission of an opening (RFC 6298 section 2).
// An opening that waited less was not lost.
constexpr double kFirstRetransmissionMs = 1000;
constexpr const char* kDisconnectedBalancer = "entry-7";

// Waits until the fabric reports the balancer's readiness as `ready`.
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

TEST_CASE("a balancer whose lease expires leaves the rotation and returns") {
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
  // The balancer learns of versions from its peers, but gets documents only
  // through the proxy.
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
    integration::PrintFigures("an expired lease", kSeed, report);
    CHECK(report.get<int>("broken") == 0);
    CHECK(report.get<int>("unanswered_openings") == 0);
    CHECK(report.get<int>("wrong_bytes") == 0);
    CHECK(report.get<double>("wait_p99_ms") < kFirstRetransmissionMs);
  }
}
