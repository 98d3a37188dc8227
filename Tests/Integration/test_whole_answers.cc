// Promise: answers come whole and to the caller they belong to, whatever the
// network does to the packets.

#include <doctest/doctest.h>

#include <iostream>

#include "scenario.h"

using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 71;

// Placed at random, a flow's server cannot be told from its key.
constexpr const char* kRandomPlacement = "control: {placement: none}\n";

struct Outcome {
  int m_whole = 0;
  int m_broken = 0;
  int m_wrong_bytes = 0;
  int m_crossed_answers = 0;
};

void PrintBroken(const integration::ChildProcess& caller) {
  for (const auto& line : caller.Lines("broken_flow"))
    std::cout << "broken: " << line.get("result", "") << ", answer bytes "
              << line.get("answer_bytes", "") << ", silent for "
              << line.get("silent_ms", "") << " ms" << std::endl;
}

// Pulls and short requests while two of six balancers die and the network
// duplicates, reorders, delays and loses packets on every hop.
Outcome RunThroughFaults(const std::string& proof,
                         const std::string& settings) {
  integration::Scenario scenario({.m_seed = kSeed,
                                  .m_settings = settings,
                                  .m_has_fault_proxies = true,
                                  .m_has_peer_proxies = true});
  integration::Deployment& deployment = scenario.deployment();
  for (const char* fault :
       {"duplicate 0.05", "reorder 0.05", "delay 2 4", "loss 0.01"}) {
    deployment.SetFault(fault);
    // Between the balancers too: their messages and the packets they relay.
    deployment.SetPeerFault(fault);
  }
  // Few ports, each used again as soon as its flow ends.
  const auto pulls = deployment.StartCaller(
      integration::kPortal, {.m_kind = "pull",
                             .m_openings_per_second = 20,
                             .m_duration = seconds(120),
                             .m_service_time_ms = 20,
                             .m_answer_bytes = 50000,
                             .m_more = {"--ports", "20000-20059"}});
  const auto shorts = deployment.StartCaller(
      integration::kPortal, {.m_openings_per_second = 60,
                             .m_duration = seconds(120),
                             .m_more = {"--ports", "20000-20059"}});

  const auto await_established = [&](int count) {
    for (const auto* caller : {&pulls, &shorts})
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
  for (const auto* caller : {&pulls, &shorts}) {
    const auto report = (*caller)->Ask("stop", "report", seconds(40));
    integration::PrintFigures(proof, kSeed, report);
    PrintBroken(**caller);
    outcome.m_whole += report.get<int>("whole");
    outcome.m_broken += report.get<int>("broken");
    outcome.m_wrong_bytes += report.get<int>("wrong_bytes");
    outcome.m_crossed_answers += report.get<int>("crossed_answers");
  }
  CHECK(outcome.m_wrong_bytes == 0);
  CHECK(outcome.m_crossed_answers == 0);
  return outcome;
}

}  // namespace

TEST_CASE("answers stay whole under duplicates, reordering, delay and loss") {
  const Outcome outcome =
      RunThroughFaults("faults on every hop, 2 of 6 killed", "");

  CHECK(outcome.m_whole > 300);
  CHECK(outcome.m_broken == 0);
}

TEST_CASE("answers stay whole when the flows' servers are random") {
  const Outcome outcome = RunThroughFaults(
      "faults on every hop, 2 of 6 killed, random servers", kRandomPlacement);

  CHECK(outcome.m_whole > 300);
  CHECK(outcome.m_broken == 0);
}

TEST_CASE("without learning and probes the same faults break flows") {
  const Outcome outcome = RunThroughFaults(
      "the same without learning and probes",
      std::string(kRandomPlacement) +
          "mechanisms: {learn_from_answers: false, probe: false}\n");

  CHECK(outcome.m_broken > 0);
}
