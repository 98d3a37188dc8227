// Prints the goodput and the worth of a service by kind of request against the
// offered load, with and without admission by priority, beside the bound of an
// allocator with perfect knowledge. Used for docs/design/admission.md.

#include <fmt/core.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "AdmissionEmulator/admission_emulator.h"

namespace {

using admission_emulator::Admission;
using admission_emulator::ClassResults;
using admission_emulator::Deployment;
using admission_emulator::RetryPath;
using admission_emulator::Scenario;

void PrintRun(std::string_view name, const Scenario& scenario) {
  const auto results = admission_emulator::Run(scenario);
  const ClassResults sum = results.Sum();
  const ClassResults& urgent = results.m_classes[0];
  const ClassResults& other = results.m_classes[1];
  fmt::print(
      "| {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} "
      "| {:.3f} | {:.3f} |\n",
      name, scenario.m_admission == Admission::kOff ? "off" : "by priority",
      urgent.InTimeShare(), results.m_bound_shares[0], other.InTimeShare(),
      results.m_bound_shares[1], results.m_worth / results.m_bound_worth,
      double(sum.m_shed) / double(sum.m_served),
      double(other.m_admitted) / double(urgent.m_admitted + other.m_admitted),
      double(sum.m_refused) / double(sum.m_refused + sum.m_admitted));
  std::fflush(stdout);
}

void PrintHeader(std::string_view title) {
  fmt::print("\n{}\n\n", title);
  fmt::print(
      "| load | admission | urgent in time | bound | other in time | "
      "bound | worth/bound | 503/served | other/admitted | refused |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n");
}

// The load lasts for 20 s; the last 14 s are counted.
void PrintLoads(std::string_view title, const Deployment& deployment) {
  PrintHeader(title);
  for (const double load : {0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 4.0}) {
    for (const Admission admission :
         {Admission::kOff, Admission::kByPriority}) {
      Scenario scenario;
      scenario.m_deployment = deployment;
      scenario.m_admission = admission;
      scenario.m_burst_factor =
          load * deployment.Slots() / deployment.UsedSlots();
      scenario.m_burst_end_seconds = 24;
      scenario.m_end_seconds = 24;
      scenario.m_count_from_seconds = 10;
      scenario.m_count_to_seconds = 23;
      PrintRun(fmt::format("{:.1f}", load), scenario);
    }
  }
}

// The requests of a burst of 5 s are counted.
void PrintBursts(std::string_view title, const Deployment& deployment) {
  PrintHeader(title);
  for (const double lost : {0.0, 0.33, 0.5}) {
    for (const double factor : {1.2, 4.0, 9.0, 10.0}) {
      for (const Admission admission :
           {Admission::kOff, Admission::kByPriority}) {
        Scenario scenario;
        scenario.m_deployment = deployment;
        scenario.m_admission = admission;
        scenario.m_burst_factor = factor;
        scenario.m_lost_servers = lost;
        scenario.m_burst_start_seconds = 4;
        scenario.m_burst_end_seconds = 9;
        scenario.m_count_from_seconds = 4;
        scenario.m_count_to_seconds = 9;
        PrintRun(fmt::format("x{} lost {}", factor, lost), scenario);
      }
    }
  }
}

// The burst of 6 s is counted. The first data centre has `skew` times its part
// of the callers.
void PrintUneven(std::string_view title, const Deployment& deployment) {
  PrintHeader(title);
  for (const double skew : {1.0, 1.5, 2.5}) {
    for (const double load : {0.5, 0.7, 0.9, 1.5}) {
      for (const bool adapts : {false, true}) {
        Scenario scenario;
        scenario.m_deployment = deployment;
        scenario.m_burst_factor =
            load * deployment.Slots() / deployment.UsedSlots();
        scenario.m_first_data_centre_factor = skew;
        scenario.m_adapts_placement = adapts;
        scenario.m_burst_start_seconds = 6;
        scenario.m_burst_end_seconds = 12;
        scenario.m_end_seconds = 13;
        scenario.m_count_from_seconds = 6;
        scenario.m_count_to_seconds = 12;
        PrintRun(fmt::format("{:.1f} skew {} {}", load, skew,
                             adapts ? "adaptive" : "fixed penalty"),
                 scenario);
      }
    }
  }
}

// Deployment B with the pause and the time of a refusal with which the emulator
// gives the figures of the plays without admission (9 times the traffic).
Deployment PlayedB() {
  Deployment b = admission_emulator::DeploymentB();
  b.m_pause_seconds = 0.3;
  b.m_refusal_seconds = 0.1;
  return b;
}

// Half of the less urgent requests become the least urgent of three.
Deployment ThreePriorities(Deployment deployment) {
  admission_emulator::RequestClass& other = deployment.m_classes.back();
  other.m_rate_per_second /= 2;
  admission_emulator::RequestClass least = other;
  least.m_name = "least";
  ++least.m_priority;
  deployment.m_classes.push_back(least);
  return deployment;
}

// Plays of 14 s as on the deployments, with a burst from 4 to 9 s; all requests
// are counted.
void PrintPlays(const Deployment& deployment,
                double unseen_refusals,
                bool is_with_off) {
  fmt::print("\nB, plays, unseen refusals {}\n\n| load | admission |",
             unseen_refusals);
  for (const auto& kind : deployment.m_classes)
    fmt::print(" {} worth | in time |", kind.m_priority);
  fmt::print(
      " all worth | 503/200 | of them on used flows | busy slots | busiest |\n"
      "|---|---|");
  for (std::size_t i = 0; i < 2 * deployment.m_classes.size() + 5; ++i)
    fmt::print("---|");
  fmt::print("\n");
  for (const double factor : {0.5, 0.9, 1.0, 1.2, 2.0, 4.0, 9.0, 10.0, 18.0}) {
    for (const Admission admission :
         {Admission::kOff, Admission::kByPriority}) {
      if (admission == Admission::kOff && !is_with_off)
        continue;
      Scenario scenario;
      scenario.m_deployment = deployment;
      scenario.m_admission = admission;
      scenario.m_burst_factor = factor;
      scenario.m_burst_end_seconds = 9;
      scenario.m_end_seconds = 17;
      scenario.m_count_to_seconds = 14;
      scenario.m_unseen_refusals = unseen_refusals;
      const auto results = admission_emulator::Run(scenario);
      const ClassResults sum = results.Sum();
      fmt::print("| {} | {} |", factor,
                 admission == Admission::kOff ? "off" : "by priority");
      double owed = 0;
      for (std::size_t i = 0; i < results.m_classes.size(); ++i) {
        const ClassResults& kind = results.m_classes[i];
        const double kind_owed =
            double(kind.m_asked) * deployment.m_classes[i].m_worth;
        owed += kind_owed;
        fmt::print(" {:.3f} | {:.3f} |", kind.m_worth / kind_owed,
                   kind.InTimeShare());
      }
      fmt::print(" {:.3f} | {:.3f} | {:.2f} | {:.3f} | {:.2f} |\n",
                 results.m_worth / owed,
                 double(sum.m_shed) / double(sum.m_served),
                 double(sum.m_shed_later) /
                     double(std::max<std::uint64_t>(1, sum.m_shed)),
                 results.m_busy_share, results.m_busiest);
      std::fflush(stdout);
    }
  }
}

// The requests of each fifth of a second of a play, from just before the burst.
void PrintMoments(double factor) {
  const Deployment deployment = PlayedB();
  Scenario scenario;
  scenario.m_deployment = deployment;
  scenario.m_burst_factor = factor;
  scenario.m_burst_end_seconds = 9;
  scenario.m_end_seconds = 14;
  const auto results = admission_emulator::Run(scenario);
  fmt::print(
      "\n| s | asked | served | refused | 503 | busy slots |\n"
      "|---|---|---|---|---|---|\n");
  for (std::size_t i = 38; i < results.m_moments.size(); i += 2) {
    const auto& a = results.m_moments[i];
    const auto& b = results.m_moments[i + 1];
    fmt::print("| {:.1f} | {} | {} | {} | {} | {:.2f} |\n", double(i) / 10,
               a.m_asked + b.m_asked, a.m_served + b.m_served,
               a.m_refused + b.m_refused, a.m_shed + b.m_shed,
               (a.m_busy_slot_seconds + b.m_busy_slot_seconds) / 0.2 /
                   deployment.Slots());
  }
}

}  // namespace

// Runs everything, or the part that the argument names: A, B1, B4, B10, AU or
// BU; the plays of B: P, PU (a part of the refusals is not recognised) or P3
// (three priorities); T FACTOR: the course of one play.
int main(int argc, char** argv) {
  using admission_emulator::DeploymentA;
  using admission_emulator::DeploymentB;
  const std::string part = argc > 1 ? argv[1] : "";
  if (part == "T") {
    PrintMoments(argc > 2 ? std::stod(argv[2]) : 9);
    return 0;
  }
  if (part == "P" || part == "PU" || part == "P3") {
    PrintPlays(part == "P3" ? ThreePriorities(PlayedB()) : PlayedB(),
               part == "PU" ? 0.7 : 0.0, part == "P");
    return 0;
  }
  for (const std::uint32_t requests : {1U, 4U, 10U}) {
    if (!part.empty() && part != fmt::format("B{}", requests))
      continue;
    Deployment b = DeploymentB();
    b.m_requests_per_flow = requests;
    PrintLoads(fmt::format("B, {} requests per flow", requests), b);
    PrintBursts(fmt::format("B, bursts, {} requests per flow", requests), b);
  }
  if (part.empty() || part == "AU")
    PrintUneven("A, uneven demand", DeploymentA());
  if (part.empty() || part == "BU") {
    Deployment b = DeploymentB();
    b.m_requests_per_flow = 1;
    PrintUneven("B, uneven demand, 1 request per flow", b);
  }
  if (!part.empty() && part != "A")
    return 0;
  PrintLoads("A", DeploymentA());
  PrintBursts("A, bursts", DeploymentA());
}
