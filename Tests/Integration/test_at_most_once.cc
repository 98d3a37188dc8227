// Guards against a non-idempotent request that runs twice, and against a caller
// who is told that a request did not run although it ran. Both could come about
// by retries while balancers are killed or paused, servers shed load and
// packets are lost.

#include <doctest/doctest.h>

#include <iostream>
#include <memory>

#include "scenario.h"

using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 61;
// The share of packets lost on each hop.
constexpr const char* kLoss = "loss 0.02";

struct Outcome {
  integration::JsonLine m_report;
  std::uint64_t m_refused_for_limit = 0;
  std::uint64_t m_refused_for_shedding = 0;
  std::size_t m_executions = 0;
  std::size_t m_executed_twice = 0;
  std::size_t m_refused_ids = 0;
  std::size_t m_refused_but_run = 0;
};

void AwaitNewFlows(integration::ChildProcess& caller, int count) {
  const std::size_t line = caller.LineCount();
  const int before =
      caller.SendAndWait("report", "report").get("established", 0);
  caller.WaitForLater(line, "progress", seconds(30), [&](const auto& progress) {
    return progress.get("established", 0) >= before + count;
  });
}

void SetShedding(integration::Deployment& deployment,
                 const std::string& server,
                 const std::string& state) {
  deployment.Server(server).SendAndWait("shed " + state, "done");
}

// Compares the requests that the servers ran with those that the caller was
// told did not run.
Outcome CompareExecutions(integration::Scenario& scenario,
                          integration::ChildProcess& caller) {
  integration::Deployment& deployment = scenario.deployment();
  Outcome outcome;
  outcome.m_report = caller.SendAndWait("stop", "report", seconds(30));
  outcome.m_refused_for_limit = deployment.SumOverServers("refused_limit");
  outcome.m_refused_for_shedding =
      deployment.SumOverServers("refused_shedding");
  const std::map<std::string, int> executions = deployment.Executions();
  outcome.m_executions = executions.size();
  for (const auto& [id, count] : executions)
    outcome.m_executed_twice += count > 1 ? 1 : 0;
  const auto refused = caller.SendAndWait("refused_ids", "refused_ids");
  for (const auto& [key, id] : refused.get_child("ids")) {
    ++outcome.m_refused_ids;
    outcome.m_refused_but_run += executions.count(id.data());
  }
  return outcome;
}

void CheckAtMostOnce(const std::string& title, const Outcome& outcome) {
  integration::PrintFigures(title, kSeed, outcome.m_report);
  std::cout << title << ": refused for the limit "
            << outcome.m_refused_for_limit << ", for shedding "
            << outcome.m_refused_for_shedding << ", executions "
            << outcome.m_executions << ", run twice "
            << outcome.m_executed_twice << ", refused ids at the caller "
            << outcome.m_refused_ids << ", of these run "
            << outcome.m_refused_but_run << std::endl;
  CHECK(outcome.m_executions > 500);
  CHECK(outcome.m_refused_for_shedding > 0);
  CHECK(outcome.m_executed_twice == 0);
  CHECK(outcome.m_refused_but_run == 0);
  CHECK(outcome.m_report.get<int>("wrong_bytes") == 0);
  CHECK(outcome.m_report.get<int>("crossed_answers") == 0);
}

// So few connections that servers refuse openings for the limit all the time.
const integration::Scenario::Options kFewConnections{
    .m_portal_servers = 3,
    .m_balancers = 4,
    .m_seed = kSeed,
    .m_server_connections = 4,
    .m_has_fault_proxies = true};

std::unique_ptr<integration::ChildProcess> StartCallerAtLimit(
    integration::Deployment& deployment) {
  auto caller = deployment.StartCaller(
      integration::kPortal, {.m_kind = "declaration",
                             .m_openings_per_second = 200,
                             .m_duration = seconds(120),
                             .m_service_time_ms = 50,
                             .m_extra_options = {"--retry-not-run", "3"}});
  AwaitNewFlows(*caller, 200);
  return caller;
}

void CheckAtLimit(const std::string& title, const Outcome& outcome) {
  CheckAtMostOnce(title, outcome);
  CHECK(outcome.m_refused_for_limit > 0);
  CHECK(outcome.m_refused_ids > 0);
}

}  // namespace

TEST_CASE(
    "declarations run at most once when balancers are killed and paused") {
  integration::Scenario scenario(
      {.m_seed = kSeed, .m_has_fault_proxies = true});
  integration::Deployment& deployment = scenario.deployment();
  const auto caller = deployment.StartCaller(
      integration::kPortal, {.m_kind = "declaration",
                             .m_openings_per_second = 100,
                             .m_duration = seconds(120),
                             .m_service_time_ms = 30,
                             .m_extra_options = {"--retry-not-run", "3"}});
  AwaitNewFlows(*caller, 100);

  // Twice: loss, shedding, a killed balancer and a paused balancer together.
  deployment.SetFault(kLoss);
  SetShedding(deployment, "portal-1", "on");
  deployment.KillBalancer("entry-1");
  deployment.PauseBalancer("entry-2");
  AwaitNewFlows(*caller, 100);
  SetShedding(deployment, "portal-1", "off");
  SetShedding(deployment, "portal-2", "on");
  deployment.KillBalancer("entry-3");
  deployment.PauseBalancer("entry-2");
  AwaitNewFlows(*caller, 100);

  CheckAtMostOnce("2 killed, 2 pauses, shedding, loss",
                  CompareExecutions(scenario, *caller));
}

TEST_CASE("declarations run at most once when all servers are at their limit") {
  integration::Scenario scenario(kFewConnections);
  integration::Deployment& deployment = scenario.deployment();
  const auto caller = StartCallerAtLimit(deployment);

  deployment.SetFault(kLoss);
  SetShedding(deployment, "portal-1", "on");
  deployment.KillBalancer("entry-1");
  AwaitNewFlows(*caller, 200);
  SetShedding(deployment, "portal-1", "off");
  SetShedding(deployment, "portal-2", "on");
  deployment.KillBalancer("entry-2");
  AwaitNewFlows(*caller, 200);

  CheckAtLimit("at the connection limit, 2 killed, shedding, loss",
               CompareExecutions(scenario, *caller));
}

TEST_CASE(
    "refused requests did not run when balancers restart in a platform "
    "outage") {
  integration::Scenario scenario(kFewConnections);
  integration::Deployment& deployment = scenario.deployment();
  const auto caller = StartCallerAtLimit(deployment);

  // Two rounds, each with another kind of outage: loss, shedding, a killed
  // balancer, a paused balancer, and a restart without the platform.
  deployment.SetFault(kLoss);
  struct Round {
    const char* m_outage;
    const char* m_shedding;
    const char* m_killed;
    const char* m_paused;
  };
  for (const Round& round :
       {Round{"outage?mode=silent", "portal-1", "entry-1", "entry-2"},
        Round{"outage?mode=refuse", "portal-2", "entry-3", "entry-4"}}) {
    scenario.platform().Post(round.m_outage);
    SetShedding(deployment, round.m_shedding, "on");
    deployment.KillBalancer(round.m_killed);
    deployment.PauseBalancer(round.m_paused);
    AwaitNewFlows(*caller, 100);
    SetShedding(deployment, round.m_shedding, "off");
    deployment.RestartBalancer(round.m_killed);
    AwaitNewFlows(*caller, 100);
    scenario.platform().Post("outage?mode=off");
  }

  CheckAtLimit("at the limit, platform out, 2 killed, 2 paused",
               CompareExecutions(scenario, *caller));
}
