// Guards against flows that break when balancers shut down gracefully
// (SIGTERM), also during platform outages and while other balancers are killed.

#include <doctest/doctest.h>

#include "callers.h"
#include "scenario.h"

using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 91;

std::unique_ptr<integration::ChildProcess> StartPulls(
    integration::Deployment& deployment) {
  auto pulls =
      deployment.StartCaller(integration::kPortal, {.m_kind = "pull",
                                                    .m_openings_per_second = 20,
                                                    .m_duration = seconds(120),
                                                    .m_service_time_ms = 50,
                                                    .m_answer_bytes = 200000});
  pulls->WaitFor("progress", seconds(30), [](const auto& line) {
    return line.get("established", 0) >= 20;
  });
  return pulls;
}

void CheckWhole(const std::string& title, integration::ChildProcess& pulls) {
  const auto report = pulls.SendAndWait("stop", "report", seconds(30));
  integration::PrintFigures(title, kSeed, report);
  CHECK(report.get<int>("established") > 60);
  CHECK(report.get<int>("broken") == 0);
  CHECK(report.get<int>("wrong_bytes") == 0);
}

// Counts the feeds that break when two balancers shut down. Feeds last longer
// than the shutdown. Servers are random, since otherwise the hash order alone
// finds most flows' servers.
int CountBrokenFeeds(const std::string& title, const std::string& mechanisms) {
  integration::Scenario scenario(
      {.m_seed = kSeed,
       .m_settings = "control: {placement: none}\n" + mechanisms});
  integration::Deployment& deployment = scenario.deployment();
  const auto feeds = deployment.StartCaller(
      integration::kPortal, {.m_kind = "feed",
                             .m_openings_per_second = 50,
                             .m_duration = seconds(60),
                             .m_extra_options = {"--feed-interval-ms", "200"}});
  integration::AwaitNewFlowsOfAll({feeds.get()}, 100);

  CHECK(deployment.StopBalancers({"entry-1", "entry-2"}));
  integration::AwaitNewFlowsOfAll({feeds.get()}, 50);

  const auto report = feeds->SendAndWait("stop", "report", seconds(30));
  integration::PrintFigures(title, kSeed, report);
  return report.get<int>("broken");
}

}  // namespace

TEST_CASE("no pull breaks when two balancers shut down at once, twice") {
  integration::Scenario scenario({.m_seed = kSeed});
  integration::Deployment& deployment = scenario.deployment();
  const auto pulls = StartPulls(deployment);

  CHECK(deployment.StopBalancers({"entry-1", "entry-2"}));
  CHECK(deployment.StopBalancers({"entry-3", "entry-4"}));

  CheckWhole("2 of 6, then 2 of 4 shut down", *pulls);
}

TEST_CASE("no feed breaks in a shutdown when servers are random") {
  CHECK(CountBrokenFeeds("2 of 6 shut down, random servers", "") == 0);
}

TEST_CASE("without learning and probes a shutdown breaks feeds") {
  CHECK(CountBrokenFeeds(
            "2 of 6 shut down without learning and probes",
            "mechanisms: {learn_from_answers: false, probe: false}\n") > 0);
}

TEST_CASE("no pull breaks in shutdowns during platform outages") {
  integration::Scenario scenario({.m_seed = kSeed});
  integration::Deployment& deployment = scenario.deployment();
  const auto pulls = StartPulls(deployment);

  scenario.platform().Post("outage?mode=silent");
  CHECK(deployment.StopBalancers({"entry-1", "entry-2"}));
  scenario.platform().Post("outage?mode=refuse");
  CHECK(deployment.StopBalancers({"entry-3", "entry-4"}));

  CheckWhole("2 of 6, then 2 of 4 shut down in platform outages", *pulls);
}

TEST_CASE("no pull breaks in shutdowns while another balancer is killed") {
  integration::Scenario scenario({.m_balancers = 8, .m_seed = kSeed});
  integration::Deployment& deployment = scenario.deployment();
  const auto pulls = StartPulls(deployment);

  CHECK(deployment.StopBalancers({"entry-1", "entry-2"}, [&deployment] {
    deployment.KillBalancer("entry-3");
  }));
  CHECK(deployment.StopBalancers({"entry-4", "entry-5"}, [&deployment] {
    deployment.KillBalancer("entry-6");
  }));

  CheckWhole("twice 2 shut down and 1 killed, of 8", *pulls);
}
