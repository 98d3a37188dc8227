// Unplanned: a backend server dies without a word. Its own flows are lost;
// openings and the flows of other servers are not.

#include <doctest/doctest.h>
#include <signal.h>

#include "scenario.h"

using std::chrono::seconds;

TEST_CASE("openings go elsewhere when servers and a balancer die") {
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
  // A request of 20 ms at 100 openings a second: about two run at any time, on
  // six servers, and a flow opened on a server breaks with it.
  CHECK(report.get<int>("broken") <= 8);
  CHECK(report.get<int>("wrong_bytes") == 0);
}
