// Guards against openings and flows that are lost with a killed backend server
// although they are not the server's own. Only its own flows may break.

#include <doctest/doctest.h>
#include <signal.h>

#include "scenario.h"

using std::chrono::seconds;

TEST_CASE(
    "openings reach other servers when servers and a balancer are killed") {
  constexpr std::uint64_t kSeed = 111;
  integration::Scenario scenario({.m_seed = kSeed});
  auto& deployment = scenario.deployment();
  const auto caller = deployment.StartCaller(integration::kPortal,
                                             {.m_kind = "declaration",
                                              .m_openings_per_second = 100,
                                              .m_duration = seconds(12)});
  const auto await_established = [&caller](int count) {
    caller->WaitFor("progress", seconds(30), [count](const auto& line) {
      return line.get("established", 0) > count;
    });
  };

  await_established(200);
  deployment.Server("portal-1").Signal(SIGKILL);
  deployment.KillBalancer("entry-1");
  await_established(500);
  deployment.Server("portal-2").Signal(SIGKILL);
  const auto report = caller->WaitFor("report", seconds(40));

  integration::PrintFigures("2 of 6 servers and 1 of 6 balancers killed", kSeed,
                            report);
  CHECK(report.get<int>("established") > 900);
  CHECK(report.get<int>("unanswered_openings") == 0);
  CHECK(report.get<int>("refused") == 0);
  // Requests of 20 ms at 100 openings a second: about two run at any time,
  // spread over six servers, and a flow breaks with its server.
  CHECK(report.get<int>("broken") <= 8);
  CHECK(report.get<int>("wrong_bytes") == 0);
}
