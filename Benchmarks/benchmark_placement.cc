// Measures placement policies and admission control on an emulated service, and
// the time of one choice. Prints tables in Markdown for docs/PLACEMENT.md.
//
// benchmark_placement [SECTION...]   sections: sizes, faults, overload, choice

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/core.h>

#include "LibBase/hash.h"
#include "LibBase/random.h"
#include "LibPlacement/load_view.h"
#include "LibPlacement/placement_policy.h"
#include "ServiceEmulator/emulator_settings.h"
#include "ServiceEmulator/service_emulator.h"

namespace {

using namespace std::chrono_literals;
using placement::BoundedWalk;
using service_emulator::EmulatorResults;
using service_emulator::EmulatorSettings;
using service_emulator::LoadInformation;
using service_emulator::Misbehaviour;
using service_emulator::ServiceEmulator;

constexpr std::uint64_t kSeeds = 5;
// Bytes to publish one exception: a key digest of 8 bytes, 2 bits for the
// choice, and a share of the message header.
constexpr double kExceptionBytes = 10.0;
// New flows per second at each balancer for which control traffic is computed.
constexpr double kOpeningsPerSecond = 2000.0;
constexpr double kBytesPerKilobyte = 1000.0;

struct PolicyVariant {
  std::string m_name;
  placement::PlacementPolicy m_policy;
  LoadInformation m_load_information = LoadInformation::kReportsOnly;
  base::Duration m_peer_interval = 50ms;
  double m_bound_factor = 1.0;
};

BoundedWalk MakeWalk(std::size_t candidates, double margin) {
  BoundedWalk walk;
  walk.m_candidates = candidates;
  walk.m_utilisation_margin = margin;
  return walk;
}

std::vector<PolicyVariant> PolicyVariants() {
  constexpr std::size_t kAll = BoundedWalk::kAllCandidates;
  constexpr double kFirstFree = BoundedWalk::kUnlimitedMargin;
  const auto reports = LoadInformation::kReportsOnly;
  const auto passing_ends = LoadInformation::kPassingFlowEnds;
  const auto peer_counts = LoadInformation::kPeerCounts;
  return {
      {"hash only", placement::FirstHash{}, reports},
      {"round robin", placement::RoundRobin{}, reports},
      {"least reported", placement::LeastReportedLoad{}, reports},
      {"best of 2", MakeWalk(2, 0.0), reports},
      {"first free of 3", MakeWalk(3, kFirstFree), reports},
      {"first free of all", MakeWalk(kAll, kFirstFree), reports},
      {"first free of 3, ends seen", MakeWalk(3, kFirstFree), passing_ends},
      {"first free of 3, peers 250 ms", MakeWalk(3, kFirstFree), peer_counts,
       250ms},
      {"first free of 3, peers", MakeWalk(3, kFirstFree), peer_counts},
      {"first free of 3, bound 4/3, peers", MakeWalk(3, kFirstFree),
       peer_counts, 50ms, 4.0 / 3.0},
      {"first free of all, peers 250 ms", MakeWalk(kAll, kFirstFree),
       peer_counts, 250ms},
      {"first free of all, peers", MakeWalk(kAll, kFirstFree), peer_counts},
      {"first of all within 1/3, peers", MakeWalk(kAll, 0.34), peer_counts},
      {"best of all, peers", MakeWalk(kAll, 0.0), peer_counts},
      {"best of all, perfect", MakeWalk(kAll, 0.0), LoadInformation::kPerfect},
  };
}

struct Summary {
  double m_mean = 0.0;
  double m_deviation = 0.0;
};

Summary Summarise(const std::vector<double>& values) {
  Summary summary;
  for (const double value : values)
    summary.m_mean += value / static_cast<double>(values.size());
  for (const double value : values) {
    const double distance = value - summary.m_mean;
    summary.m_deviation +=
        distance * distance / static_cast<double>(values.size());
  }
  summary.m_deviation = std::sqrt(summary.m_deviation);
  return summary;
}

template <typename Query>
Summary SummariseRuns(const std::vector<EmulatorResults>& runs, Query query) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const EmulatorResults& run : runs)
    values.push_back(query(run));
  return Summarise(values);
}

std::vector<EmulatorResults> RunSeeds(EmulatorSettings settings) {
  std::vector<EmulatorResults> runs;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    settings.m_seed = seed;
    runs.push_back(ServiceEmulator(settings).Run());
  }
  return runs;
}

std::string FormatSummary(Summary summary, int digits) {
  return fmt::format("{:.{}f} ± {:.{}f}", summary.m_mean, digits,
                     summary.m_deviation, digits);
}

// Returns the kilobytes per second to publish the exceptions to one other
// balancer if `share` of the flows are exceptions.
double ExceptionKilobytesPerSecond(double share) {
  return share * kOpeningsPerSecond * kExceptionBytes / kBytesPerKilobyte;
}

void PrintPolicyHeader(std::string_view title) {
  fmt::print("\n### {}\n\n", title);
  fmt::print(
      "| policy | load peak/mean | p50 wait s | p99 wait s | off first choice "
      "| KB/s all | KB/s after 3 s | KB/s counts | refused |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
}

void PrintPolicyRow(std::string_view name,
                    const std::vector<EmulatorResults>& runs) {
  const auto imbalance =
      SummariseRuns(runs, [](const auto& run) { return run.MeanImbalance(); });
  const auto p50_wait = SummariseRuns(
      runs, [](const auto& run) { return run.WaitQuantile(0.5); });
  const auto p99_wait = SummariseRuns(
      runs, [](const auto& run) { return run.WaitQuantile(0.99); });
  const auto exceptions =
      SummariseRuns(runs, [](const auto& run) { return run.ExceptionShare(); });
  const auto long_exceptions = SummariseRuns(
      runs, [](const auto& run) { return run.LongExceptionShare(); });
  const auto refused =
      SummariseRuns(runs, [](const auto& run) { return run.RefusedShare(); });
  const auto counts = SummariseRuns(
      runs, [](const auto& run) { return run.PeerBytesPerSecond(); });
  fmt::print(
      "| {} | {} | {:.2f} | {} | {:.0f}% | {:.1f} | {:.1f} | {:.1f} | {:.1f}% "
      "|\n",
      name, FormatSummary(imbalance, 2), p50_wait.m_mean,
      FormatSummary(p99_wait, 1), 100 * exceptions.m_mean,
      ExceptionKilobytesPerSecond(exceptions.m_mean),
      ExceptionKilobytesPerSecond(long_exceptions.m_mean),
      counts.m_mean / kBytesPerKilobyte, 100 * refused.m_mean);
  std::fflush(stdout);
}

EmulatorSettings SettingsFor(std::uint32_t slots,
                             const PolicyVariant& variant) {
  EmulatorSettings settings;
  settings.m_slots = slots;
  settings.m_load_information = variant.m_load_information;
  settings.m_policy = variant.m_policy;
  settings.m_load_publisher.m_minimum_period = variant.m_peer_interval;
  settings.m_load.m_bound_factor = variant.m_bound_factor;
  // Admission control is off, so that placement is measured alone.
  settings.m_admission.m_concurrency_control =
      admission::ConcurrencyControl::kOff;
  return settings;
}

void MeasureSizes() {
  for (const std::uint32_t slots : {3U, 2U}) {
    PrintPolicyHeader(fmt::format("15 servers, {} slots, 80% busy", slots));
    for (const PolicyVariant& variant : PolicyVariants())
      PrintPolicyRow(variant.m_name, RunSeeds(SettingsFor(slots, variant)));
  }
}

// The policies in the tables of faults.
std::vector<PolicyVariant> FaultPolicyVariants() {
  constexpr std::size_t kAll = BoundedWalk::kAllCandidates;
  constexpr double kFirstFree = BoundedWalk::kUnlimitedMargin;
  const auto peer_counts = LoadInformation::kPeerCounts;
  return {
      {"hash only", placement::FirstHash{}},
      {"least reported", placement::LeastReportedLoad{}},
      {"first free of 3", MakeWalk(3, kFirstFree)},
      {"first free of all", MakeWalk(kAll, kFirstFree)},
      {"first free of 3, bound 4/3, peers", MakeWalk(3, kFirstFree),
       peer_counts, 50ms, 4.0 / 3.0},
      {"first free of all, peers", MakeWalk(kAll, kFirstFree), peer_counts},
      {"best of all, perfect", MakeWalk(kAll, 0.0), LoadInformation::kPerfect},
  };
}

struct Fault {
  std::string m_name;
  void (*m_apply)(EmulatorSettings&);
};

std::vector<Fault> Faults() {
  return {
      {"one server reports idle",
       [](EmulatorSettings& settings) {
         settings.m_misbehaviour = Misbehaviour::kReportsIdle;
       }},
      {"one server reports twice its slots busy",
       [](EmulatorSettings& settings) {
         settings.m_misbehaviour = Misbehaviour::kReportsBusy;
       }},
      {"one server is four times slower and reports idle",
       [](EmulatorSettings& settings) {
         settings.m_misbehaviour = Misbehaviour::kSlowAndReportsIdle;
       }},
      {"two servers drain and two cold ones start each minute",
       [](EmulatorSettings& settings) { settings.m_replacement_period = 60s; }},
      {"all shed at 2 queued, one sheds all for 20 s of each minute",
       [](EmulatorSettings& settings) {
         settings.m_queue_limit = 2;
         settings.m_refusal_period = 60s;
       }},
      {"a fifth of the flows are feeds of 60 s that take no slot",
       [](EmulatorSettings& settings) { settings.m_feed_share = 0.2; }},
      {"load reports lag by 1 s",
       [](EmulatorSettings& settings) { settings.m_report_lag = 1s; }},
  };
}

void MeasureFaults() {
  for (const Fault& fault : Faults()) {
    for (const std::uint32_t slots : {3U, 2U}) {
      PrintPolicyHeader(fmt::format("{}, {} slots", fault.m_name, slots));
      for (const PolicyVariant& variant : FaultPolicyVariants()) {
        EmulatorSettings settings = SettingsFor(slots, variant);
        fault.m_apply(settings);
        PrintPolicyRow(variant.m_name, RunSeeds(settings));
      }
    }
  }
}

void MeasureOverload() {
  fmt::print("\n### Twice the capacity for a minute\n\n");
  fmt::print(
      "| slots | servers shed | admission | goodput/capacity | sent/received | "
      "since start | refused | p99 wait s "
      "|\n|---|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t slots : {3U, 2U}) {
    for (const bool do_servers_shed : {false, true}) {
      for (const auto control : {admission::ConcurrencyControl::kOff,
                                 admission::ConcurrencyControl::kAdaptive}) {
        EmulatorSettings settings =
            SettingsFor(slots, {"", MakeWalk(BoundedWalk::kAllCandidates, 0.0),
                                LoadInformation::kPeerCounts});
        settings.m_admission.m_concurrency_control = control;
        settings.m_overload_utilisation = 2.0;
        settings.m_measured = settings.m_overload_time;
        settings.m_caller_timeout = 10s;
        settings.m_caller_retries = 2;
        if (do_servers_shed)
          settings.m_queue_limit = 4;
        const auto runs = RunSeeds(settings);
        const auto goodput =
            SummariseRuns(runs, [](const auto& run) { return run.Goodput(); });
        const auto sent = SummariseRuns(
            runs, [](const auto& run) { return run.SentPerReceived(); });
        const auto sent_since_start = SummariseRuns(runs, [](const auto& run) {
          return run.SentPerReceivedSinceStart();
        });
        const auto refused = SummariseRuns(
            runs, [](const auto& run) { return run.RefusedShare(); });
        const auto p99_wait = SummariseRuns(
            runs, [](const auto& run) { return run.WaitQuantile(0.99); });
        fmt::print("| {} | {} | {} | {} | {} | {} | {:.0f}% | {} |\n", slots,
                   do_servers_shed ? "at 4 queued" : "no",
                   base::NameOf(admission::kConcurrencyControlNames, control),
                   FormatSummary(goodput, 3), FormatSummary(sent, 3),
                   FormatSummary(sent_since_start, 3), 100 * refused.m_mean,
                   FormatSummary(p99_wait, 1));
      }
    }
  }
}

// Returns a view in which all but the last few servers are full.
placement::LoadView MakeBusyView(
    const std::vector<base::BackendServerId>& servers,
    base::TimePoint now) {
  constexpr std::uint32_t kSlots = 3;
  constexpr std::size_t kFreeServers = 3;
  placement::LoadView view{placement::LoadSettings{}};
  for (std::size_t number = 0; number < servers.size(); ++number) {
    view.Apply(placement::ServerAdded{servers[number], kSlots, 0,
                                      placement::ServerStart::kWarm},
               now);
    const std::uint32_t busy =
        number + kFreeServers < servers.size() ? kSlots : 1;
    view.Apply(placement::LoadReported{servers[number], busy, 0, kSlots, busy,
                                       0, base::Duration::zero()},
               now);
  }
  return view;
}

void MeasureChoice() {
  constexpr std::size_t kServers = 15;
  constexpr std::size_t kOrders = 1024;
  constexpr std::size_t kChoices = 2'000'000;
  base::Random random(1);
  const base::TimePoint now{1h};
  std::vector<base::BackendServerId> servers;
  for (std::size_t number = 0; number < kServers; ++number)
    servers.emplace_back(random.Next());
  const placement::LoadView view = MakeBusyView(servers, now);
  std::vector<std::vector<base::BackendServerId>> orders;
  for (std::size_t order = 0; order < kOrders; ++order) {
    for (std::size_t last = kServers - 1; last > 0; --last)
      std::swap(servers[last], servers[random.Below(last + 1)]);
    orders.push_back(servers);
  }

  fmt::print("\n### Time of one choice among 15 servers\n\n");
  fmt::print("| policy | ns |\n|---|---|\n");
  for (PolicyVariant& variant : PolicyVariants()) {
    std::uint64_t sum = 0;
    const auto start = base::Clock::now();
    for (std::size_t choice = 0; choice < kChoices; ++choice) {
      const auto chosen = placement::Choose(
          variant.m_policy, orders[choice % kOrders], view, random);
      sum += chosen ? chosen->value() : 0;
    }
    const std::chrono::duration<double, std::nano> time =
        base::Clock::now() - start;
    // Using the sum prevents the compiler from removing the loop.
    fmt::print("| {} | {:.0f} |{}\n", variant.m_name,
               time.count() / static_cast<double>(kChoices),
               sum == 0 ? " " : "");
  }
}

struct Section {
  std::string_view m_name;
  void (*m_measure)();
};

constexpr Section kSections[] = {{"sizes", MeasureSizes},
                                 {"faults", MeasureFaults},
                                 {"overload", MeasureOverload},
                                 {"choice", MeasureChoice}};

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string_view> requested_sections(argv + 1, argv + argc);
  for (const Section& section : kSections) {
    if (requested_sections.empty() ||
        std::ranges::count(requested_sections, section.m_name) > 0)
      section.m_measure();
  }
  return 0;
}
