// Guards against flows that break when balancers are killed: the remaining
// balancers must find the server of each flow by learning and probes.

#include <doctest/doctest.h>

#include "scenario.h"

using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 41;

// Places flows independently of their hash, so that a remaining balancer cannot
// compute the server of a flow that it does not know.
constexpr const char* kPlacement = "control: {placement: none}\n";

// Kills `kills` of six balancers while flows of `kind` run. Returns the
// caller's report.
integration::JsonLine KillUnderLoad(const std::string& settings,
                                    int kills,
                                    const std::string& kind) {
  integration::Scenario scenario(
      {.m_seed = kSeed, .m_settings = kPlacement + settings});
  const auto caller = scenario.deployment().StartCaller(
      integration::kPortal, {.m_kind = kind,
                             .m_openings_per_second = 40,
                             .m_duration = seconds(8),
                             .m_service_time_ms = 50,
                             .m_answer_bytes = 100000,
                             .m_extra_options = {"--feed-interval-ms", "300"}});
  for (int kill = 1; kill <= kills; ++kill) {
    caller->WaitFor("progress", seconds(10), [kill](const auto& line) {
      return line.get("established", 0) > 60 * kill;
    });
    scenario.deployment().KillBalancer("entry-" + std::to_string(kill));
  }
  const auto report = caller->WaitFor("report", seconds(40));
  integration::PrintFigures(std::to_string(kills) + " of 6 killed, " + kind,
                            kSeed, report);
  CHECK(report.get<int>("established") > 200);
  CHECK(report.get<int>("wrong_bytes") == 0);
  return report;
}

}  // namespace

TEST_CASE("no feed breaks when two of six balancers are killed") {
  CHECK(KillUnderLoad("", 2, "feed").get<int>("broken") == 0);
}

TEST_CASE("no pull breaks when two of six balancers are killed") {
  CHECK(KillUnderLoad("", 2, "pull").get<int>("broken") == 0);
}

TEST_CASE("without learning and probes flows break when balancers are killed") {
  const auto report = KillUnderLoad(
      "mechanisms: {learn_from_answers: false, probe: false}\n", 2, "feed");
  CHECK(report.get<int>("broken") > 0);
}
