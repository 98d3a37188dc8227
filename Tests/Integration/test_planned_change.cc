// Guards against established flows that break in planned changes: of servers,
// of balancers, and of a service's own rules.

#include <doctest/doctest.h>

#include "scenario.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 31;

// Long feeds, slow pulls and declarations that run during the whole test.
struct LongFlows {
  explicit LongFlows(integration::Deployment& deployment)
      : m_feeds(deployment.StartCaller(
            integration::kPortal,
            {.m_kind = "feed",
             .m_openings_per_second = 20,
             .m_duration = seconds(60),
             .m_extra_options = {"--feed-interval-ms", "400"}})),
        m_pulls(deployment.StartCaller(integration::kPortal,
                                       {.m_kind = "pull",
                                        .m_openings_per_second = 4,
                                        .m_duration = seconds(60),
                                        .m_service_time_ms = 50,
                                        .m_answer_bytes = 400000})),
        m_shorts(deployment.StartCaller(integration::kPortal,
                                        {.m_kind = "declaration",
                                         .m_openings_per_second = 60,
                                         .m_duration = seconds(60)})) {}

  // Waits until each caller has established `count` more flows.
  void AwaitNewFlows(int count) {
    m_awaited += count;
    for (auto* caller : {&m_feeds, &m_pulls, &m_shorts})
      (*caller)->WaitFor("progress", seconds(30), [this](const auto& line) {
        return line.get("established", 0) >= m_awaited;
      });
  }

  void CheckWhole(const std::string& title) {
    for (auto* caller : {&m_feeds, &m_pulls, &m_shorts}) {
      const auto report = (*caller)->SendAndWait("stop", "report", seconds(20));
      integration::PrintFigures(title, kSeed, report);
      CHECK(report.get<int>("established") > 0);
      CHECK(report.get<int>("broken") == 0);
      CHECK(report.get<int>("wrong_bytes") == 0);
    }
  }

  int m_awaited = 0;
  std::unique_ptr<integration::ChildProcess> m_feeds;
  std::unique_ptr<integration::ChildProcess> m_pulls;
  std::unique_ptr<integration::ChildProcess> m_shorts;
};

}  // namespace

TEST_CASE("no flow breaks when servers are added, drained and removed") {
  integration::Scenario scenario({.m_seed = kSeed});
  LongFlows flows(scenario.deployment());

  flows.AwaitNewFlows(8);
  scenario.deployment().AddServer(integration::kPortal, "portal-7");
  scenario.PublishAndAwait("added");
  flows.AwaitNewFlows(8);
  scenario.server(integration::kPortal, "portal-1").m_is_draining = true;
  scenario.server(integration::kPortal, "portal-2").m_is_draining = true;
  scenario.PublishAndAwait("drained");
  flows.AwaitNewFlows(8);
  scenario.document().m_services[integration::kPortal].m_servers.erase(
      "portal-1");
  scenario.PublishAndAwait("removed");
  flows.AwaitNewFlows(8);

  flows.CheckWhole("servers added, drained, removed");
  CHECK(scenario.deployment().AreVersionsMonotonic());
}

TEST_CASE("no flow breaks when all balancers are replaced one by one") {
  integration::Scenario scenario({.m_seed = kSeed});
  LongFlows flows(scenario.deployment());

  for (const std::string& name : scenario.deployment().BalancerNames()) {
    scenario.deployment().AddBalancer("new-" + name);
    CHECK(scenario.deployment().StopBalancer(name) == 0);
  }

  flows.CheckWhole("all balancers replaced");
}

TEST_CASE("no flow breaks when the rules of its service change") {
  integration::Scenario scenario({.m_seed = kSeed});
  integration::ServiceModel& portal =
      scenario.document().m_services.at(integration::kPortal);
  LongFlows flows(scenario.deployment());

  flows.AwaitNewFlows(8);
  // Two rounds of the narrowest rules with two slots a server, then wide rules
  // with four.
  for (int round = 0; round < 2; ++round) {
    portal.m_rules = {
        "placement: {candidates: 1, imbalance_weight: 0}",
        "objective: {broken_flows: 0.01, refused_openings: 0.1, wait_ms: 50}",
        "limits: {retry_budget_percent: 0, opening_deadline_ms: 500}"};
    for (auto& [name, server] : portal.m_servers)
      server.m_slots = 2;
    scenario.PublishAndAwait("narrow");
    flows.AwaitNewFlows(8);
    portal.m_rules = {
        "placement: {candidates: 64, imbalance_weight: 1}",
        "limits: {retry_budget_percent: 100, opening_deadline_ms: 10000}"};
    for (auto& [name, server] : portal.m_servers)
      server.m_slots = 4;
    scenario.PublishAndAwait("wide");
    flows.AwaitNewFlows(8);
  }

  flows.CheckWhole("rules of the service changed four times");
  CHECK(scenario.deployment().AreVersionsMonotonic());
}
