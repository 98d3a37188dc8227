// Runs soaks of the edge balancer, one for each seed, or with new seeds for
// some minutes. Exits with 1 if a soak violated an invariant.

#include <fmt/format.h>
#include <stdlib.h>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "fault_schedule.h"
#include "soak_harness.h"

namespace soak {

namespace {

namespace options = boost::program_options;

// The callers start after this time. A balancer needs less for its first list
// of the store.
constexpr std::chrono::seconds kStartTime{3};
// The time after the faults: the longest outage of the schedule and the
// settling time.
constexpr std::chrono::seconds kRecoveryTime{6};
// The time at the end in which at least kMinimumServedShare of the requests
// must be served.
constexpr std::chrono::seconds kFaultFreeTime{3};
constexpr double kMinimumServedShare = 0.9;

struct RunOptions {
  SoakOptions m_soak;
  std::chrono::seconds m_fault_time{10};
  // Numbers of the faults that are not injected, to narrow down a failure.
  std::vector<std::size_t> m_skipped;
  // The kinds of faults that are injected; empty: all.
  std::vector<FaultKind> m_only;
  bool m_has_series = false;
  bool m_keeps_files = false;
};

std::string MakeDirectory() {
  std::string path =
      (std::filesystem::temp_directory_path() / "edge-soak-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr)
    throw std::runtime_error("cannot create directory " + path);
  return path;
}

bool IsSkipped(const RunOptions& run, std::size_t number, const Fault& fault) {
  if (!run.m_only.empty() && std::find(run.m_only.begin(), run.m_only.end(),
                                       fault.m_kind) == run.m_only.end())
    return true;
  return std::find(run.m_skipped.begin(), run.m_skipped.end(), number) !=
         run.m_skipped.end();
}

std::vector<std::string> RunSeed(RunOptions run) {
  run.m_soak.m_directory = MakeDirectory();
  SoakHarness harness(run.m_soak);
  harness.Run(kStartTime);
  harness.StartCallers();
  const auto generate = run.m_has_series ? GenerateSeries : GenerateFaults;
  const auto faults = generate(run.m_soak.m_seed, run.m_fault_time,
                               harness.Edges(), harness.Servers());
  const base::TimePoint start = stand_ins::EventLoop::Now();
  for (std::size_t number = 0; number < faults.size(); ++number) {
    const Fault& fault = faults[number];
    std::cout << "  " << number << ". " << ToString(fault)
              << (IsSkipped(run, number, fault) ? " (skipped)" : "") << "\n";
    if (!IsSkipped(run, number, fault))
      harness.loop().Timers().SubscribeOnce(
          start + fault.m_at,
          [&harness, fault](base::TimePoint) { Inject(fault, harness); });
  }
  harness.Run(run.m_fault_time + kRecoveryTime);
  const base::TimePoint faults_end = stand_ins::EventLoop::Now();
  harness.Run(kFaultFreeTime);

  std::vector<std::string> violations = harness.checker().Violations();
  // Less than all, as the last requests may be in progress.
  const auto [served, sent] = harness.checker().ServedSince(faults_end);
  if (sent == 0 || static_cast<double>(served) <
                       kMinimumServedShare * static_cast<double>(sent))
    violations.push_back(fmt::format(
        "RECOVER: only {} of {} requests were served after the faults", served,
        sent));
  std::cout << fmt::format(
      "seed {}: {} requests served, {} failed; after the faults {} of {} "
      "served\n",
      run.m_soak.m_seed, harness.checker().Served(), harness.checker().Failed(),
      served, sent);
  std::cout << fmt::format(
      "  {} probes of changed routes; {} on added routes were not answered\n",
      harness.prober().Sent(), harness.prober().Unanswered());
  std::cout << fmt::format("  {} claims of balancers checked\n",
                           harness.claims().Checked());
  for (const std::string& violation : violations)
    std::cout << "  " << violation << "\n";
  if (violations.empty() && !run.m_keeps_files)
    std::filesystem::remove_all(run.m_soak.m_directory);
  else
    std::cout << "  logs: " << run.m_soak.m_directory << "\n";
  std::cout << std::flush;
  return violations;
}

// The first number of each line; "#" begins a comment.
std::vector<std::uint64_t> ReadSeeds(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot read the seeds file " + path);
  std::vector<std::uint64_t> seeds;
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line.substr(0, line.find('#')));
    std::uint64_t seed = 0;
    if (words >> seed)
      seeds.push_back(seed);
  }
  return seeds;
}

std::vector<FaultKind> ReadKinds(const std::vector<std::string>& names) {
  std::vector<FaultKind> kinds;
  for (const std::string& name : names) {
    const auto kind = ValueOf(kFaultKindNames, name);
    if (!kind)
      throw std::runtime_error("unknown kind of fault: " + name);
    kinds.push_back(*kind);
  }
  return kinds;
}

options::options_description MakeDescription() {
  options::options_description description("EdgeSoak [OPTIONS]\n\nOptions");
  description.add_options()("help", "print this text")(
      "seed", options::value<std::uint64_t>(), "the first seed")(
      "seeds", options::value<std::uint64_t>()->default_value(1),
      "number of seeds, counting up from the first")(
      "seeds-file", options::value<std::string>(), "file with one seed a line")(
      "minutes", options::value<int>(), "run new seeds for this many minutes")(
      "seconds", options::value<int>()->default_value(10),
      "time in which faults start, for each seed")(
      "skip", options::value<std::vector<std::size_t>>()->multitoken(),
      "numbers of faults to skip")(
      "only", options::value<std::vector<std::string>>()->multitoken(),
      "kinds of faults; all others are skipped")(
      "edges", options::value<std::uint32_t>()->default_value(4), "balancers")(
      "servers", options::value<std::uint32_t>()->default_value(10),
      "backend servers")(
      "callers", options::value<std::uint32_t>()->default_value(24), "callers")(
      "network", options::value<std::uint32_t>()->default_value(200),
      "the second byte of the soak's loopback addresses")(
      "program", options::value<std::string>(),
      "another build of the balancer, for example with a mechanism disabled")(
      "deployment", options::value<std::string>()->default_value("small"),
      "small or grown: the data centres, links and bounds")(
      "idle-routes", options::value<std::uint32_t>()->default_value(0),
      "routes without callers, to make the manifest larger")(
      "series",
      "draw more faults, series and faults of many balancers among them")(
      "keep", "keep the settings and logs of passed seeds too");
  return description;
}

int RunAll(const options::variables_map& values) {
  RunOptions run;
  run.m_soak.m_network.m_number = values["network"].as<std::uint32_t>();
  run.m_soak.m_edges = values["edges"].as<std::uint32_t>();
  run.m_soak.m_servers = values["servers"].as<std::uint32_t>();
  run.m_soak.m_callers = values["callers"].as<std::uint32_t>();
  run.m_soak.m_idle_routes = values["idle-routes"].as<std::uint32_t>();
  const auto kind =
      ValueOf(kDeploymentKindNames, values["deployment"].as<std::string>());
  if (!kind)
    throw std::runtime_error("unknown deployment");
  run.m_soak.m_profile = ProfileOf(*kind);
  run.m_fault_time = std::chrono::seconds(values["seconds"].as<int>());
  if (values.contains("program"))
    run.m_soak.m_program = values["program"].as<std::string>();
  if (values.contains("only"))
    run.m_only = ReadKinds(values["only"].as<std::vector<std::string>>());
  run.m_has_series = values.contains("series");
  run.m_keeps_files = values.contains("keep");
  if (values.contains("skip"))
    run.m_skipped = values["skip"].as<std::vector<std::size_t>>();

  std::vector<std::uint64_t> seeds;
  if (values.contains("seeds-file"))
    seeds = ReadSeeds(values["seeds-file"].as<std::string>());
  std::uint64_t next = values.contains("seed")
                           ? values["seed"].as<std::uint64_t>()
                           : std::random_device()();
  const std::uint64_t count =
      seeds.empty() ? values["seeds"].as<std::uint64_t>() : 0;
  for (std::uint64_t i = 0; i < count; ++i)
    seeds.push_back(next++);
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::minutes(values.contains("minutes")
                                                 ? values["minutes"].as<int>()
                                                 : 0);
  int passed = 0;
  int failed = 0;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    run.m_soak.m_seed = seeds[i];
    ++(RunSeed(run).empty() ? passed : failed);
    if (i + 1 == seeds.size() && std::chrono::steady_clock::now() < deadline)
      seeds.push_back(next++);
  }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace

}  // namespace soak

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  const options::options_description description = soak::MakeDescription();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    return soak::RunAll(values);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
