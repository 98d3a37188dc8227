#include "whole_answers.h"

#include <iostream>

#include "scenario.h"

namespace integration {

namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeed = 71;

void PrintBroken(const ChildProcess& caller) {
  for (const auto& line : caller.Lines("broken_flow"))
    std::cout << "broken: request " << line.get("request", "") << ", "
              << line.get("result", "") << ", answer bytes "
              << line.get("answer_bytes", "") << ", unacknowledged bytes "
              << line.get("unacknowledged_bytes", "") << ", silent for "
              << line.get("silent_ms", "") << " ms" << std::endl;
}

}  // namespace

Outcome RunThroughFaults(const std::string& title,
                         const std::string& settings,
                         Faults faults) {
  Scenario scenario({.m_seed = kSeed,
                     .m_settings = settings,
                     .m_has_fault_proxies = true,
                     .m_has_peer_proxies = true});
  Deployment& deployment = scenario.deployment();
  for (const char* fault :
       {"duplicate 0.05", "reorder 0.05", "delay 2 4", "loss 0.01"}) {
    deployment.SetFault(fault);
    // Applies the fault to the balancers' messages and relayed packets too.
    if (faults == Faults::kOnHopsAndBetweenBalancers)
      deployment.SetPeerFault(fault);
  }
  // So few ports that each is reused as soon as its flow ends.
  const auto pulls = deployment.StartCaller(
      kPortal, {.m_kind = "pull",
                .m_openings_per_second = 20,
                .m_duration = seconds(120),
                .m_service_time_ms = 20,
                .m_answer_bytes = 50000,
                .m_extra_options = {"--ports", "20000-20059"}});
  const auto shorts = deployment.StartCaller(
      kPortal, {.m_openings_per_second = 60,
                .m_duration = seconds(120),
                .m_extra_options = {"--ports", "20000-20059"}});

  // Feeds last long, so a balancer has many in its flow table when it is
  // killed.
  const auto feeds = deployment.StartCaller(
      kPortal, {.m_kind = "feed",
                .m_openings_per_second = 20,
                .m_duration = seconds(120),
                .m_extra_options = {"--feed-interval-ms", "200"}});

  const auto await_established = [&](int count) {
    for (const auto* caller : {&pulls, &shorts, &feeds})
      (*caller)->WaitFor("progress", seconds(40), [count](const auto& line) {
        return line.get("established", 0) >= count;
      });
  };
  await_established(60);
  deployment.KillBalancer("entry-1");
  await_established(120);
  deployment.KillBalancer("entry-2");
  await_established(180);

  Outcome outcome;
  for (const auto* caller : {&pulls, &shorts, &feeds}) {
    const auto report = (*caller)->SendAndWait("stop", "report", seconds(40));
    PrintFigures(title, kSeed, report);
    PrintBroken(**caller);
    outcome.m_whole += report.get<int>("whole");
    outcome.m_broken += report.get<int>("broken");
    outcome.m_wrong_bytes += report.get<int>("wrong_bytes");
    outcome.m_crossed_answers += report.get<int>("crossed_answers");
  }
  return outcome;
}

}  // namespace integration
