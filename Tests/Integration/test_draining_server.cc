// Guards against a draining server that still receives openings after 3 s, and
// against established flows that break on it.

#include <doctest/doctest.h>

#include <iostream>

#include "scenario.h"

using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 81;
using Names = std::vector<std::string>;

// Feeds that last, and short requests that start all the time.
struct Traffic {
  explicit Traffic(integration::Deployment& deployment)
      : m_feeds(deployment.StartCaller(
            integration::kPortal,
            {.m_kind = "feed",
             .m_openings_per_second = 20,
             .m_duration = seconds(120),
             .m_extra_options = {"--feed-interval-ms", "400"}})),
        m_shorts(deployment.StartCaller(
            integration::kPortal,
            {.m_openings_per_second = 100, .m_duration = seconds(120)})) {
    AwaitNewFlows(40);
  }

  void AwaitNewFlows(int count) {
    for (auto* caller : {&m_feeds, &m_shorts}) {
      const std::size_t line = (*caller)->LineCount();
      const int before = (*caller)
                             ->SendAndWait("report", "report")
                             .template get<int>("established");
      (*caller)->WaitForLater(
          line, "progress", seconds(30), [&](const auto& progress) {
            return progress.get("established", 0) >= before + count;
          });
    }
  }

  std::unique_ptr<integration::ChildProcess> m_feeds;
  std::unique_ptr<integration::ChildProcess> m_shorts;
};

// Makes the servers count openings and the time from now on. They still accept
// openings, so that they count all that they receive.
void StartCountingOpenings(integration::Deployment& deployment,
                           const Names& servers) {
  for (const std::string& server : servers)
    deployment.Server(server).SendAndWait("drain accepting", "done");
}

// Short requests go on for more than 3 s at 100 a second, and feeds for 5 s.
constexpr int kOpeningsBeyondDeadline = 100;

void CheckDrained(const std::string& proof,
                  integration::Deployment& deployment,
                  const Names& servers) {
  for (const std::string& server : servers) {
    const auto report =
        deployment.Server(server).SendAndWait("report", "report");
    const auto last = report.get<int>("last_accepted_after_drain_ms");
    std::cout << proof << ": seed " << kSeed << ", " << server
              << ": openings since the drain started "
              << report.get<int>("accepted_after_drain") << ", the last after "
              << last << " ms, connections " << report.get<int>("connections")
              << std::endl;
    CHECK(last <= integration::kDrainDeadline.count());
    CHECK(report.get<int>("connections") > 0);
  }
}

void CheckWhole(const std::string& proof, Traffic& traffic) {
  for (auto* caller : {&traffic.m_feeds, &traffic.m_shorts}) {
    const auto report = (*caller)->SendAndWait("stop", "report", seconds(30));
    integration::PrintFigures(proof, kSeed, report);
    CHECK(report.get<int>("established") > 0);
    CHECK(report.get<int>("broken") == 0);
    CHECK(report.get<int>("wrong_bytes") == 0);
  }
}

}  // namespace

// Balancers learn only from health polls that a server drains by itself.
TEST_CASE("without timely health polls a draining server receives openings") {
  integration::Scenario scenario(
      {.m_seed = kSeed,
       .m_settings = "control: {health_interval_ms: 60000}\n"});
  integration::Deployment& deployment = scenario.deployment();
  Traffic traffic(deployment);

  StartCountingOpenings(deployment, {"portal-1"});
  traffic.AwaitNewFlows(kOpeningsBeyondDeadline);
  const auto report =
      deployment.Server("portal-1").SendAndWait("report", "report");
  const auto last = report.get<int>("last_accepted_after_drain_ms");
  std::cout << "health polled once a minute: seed " << kSeed
            << ", the last opening after " << last << " ms" << std::endl;

  CHECK(last > integration::kDrainDeadline.count());
}

TEST_CASE("a server drained by the document receives no opening after 3 s") {
  integration::Scenario scenario({.m_seed = kSeed});
  integration::Deployment& deployment = scenario.deployment();
  Traffic traffic(deployment);

  for (const Names& servers :
       {Names{"portal-1", "portal-2"}, Names{"portal-3", "portal-4"}}) {
    StartCountingOpenings(deployment, servers);
    for (const std::string& server : servers)
      scenario.server(integration::kPortal, server).m_is_draining = true;
    scenario.PublishAndAwait("drained-" + servers.front());
    traffic.AwaitNewFlows(kOpeningsBeyondDeadline);
    CheckDrained("drained by document", deployment, servers);
  }

  CheckWhole("drained by document", traffic);
}

TEST_CASE("a server that drains by itself receives no opening after 3 s") {
  integration::Scenario scenario(
      {.m_seed = kSeed, .m_server_options = {"--load-lag-ms", "3000"}});
  integration::Deployment& deployment = scenario.deployment();
  Traffic traffic(deployment);
  scenario.platform().Post("lag?ms=10000");

  for (const Names& servers :
       {Names{"portal-1", "portal-2"}, Names{"portal-3", "portal-4"}}) {
    for (const std::string& server : servers)
      deployment.Server(server).SendAndWait("lie 0", "done");
    StartCountingOpenings(deployment, servers);
    traffic.AwaitNewFlows(kOpeningsBeyondDeadline);
    CheckDrained("drained by itself, load reports false", deployment, servers);
  }

  CheckWhole("drained by itself, load reports false", traffic);
}
