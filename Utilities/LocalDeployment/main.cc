// Runs scaled-down deployments of both users on this machine and puts load on
// them. Exits with 0 only if no flow failed.

#include <boost/program_options.hpp>

#include <chrono>
#include <iostream>
#include <memory>
#include <vector>

#include "harness_error.h"
#include "load_result.h"
#include "stop_signals.h"
#include "summary.h"
#include "user_deployment.h"

namespace local_deployment {

namespace {

namespace options = boost::program_options;
using std::chrono::seconds;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsage = 2;
constexpr int kDefaultSeconds = 20;
constexpr auto kProgressInterval = seconds(1);

using Deployments = std::vector<std::unique_ptr<UserDeployment>>;

struct RunOptions {
  seconds m_duration{kDefaultSeconds};
  // Whether the load runs until a stop signal instead of for m_duration.
  bool m_is_endless = false;
};

std::vector<UserProfile> Profiles() {
  return {{.m_name = "Svenska Brunnstillståndsföreningen",
           .m_data_centres = {"uppsala", "vasteras", "orebro"},
           .m_first_number = 101,
           .m_portal = "licence",
           .m_archive = "archive",
           .m_slots = 3,
           .m_seed = 1},
          {.m_name = "Tussock Crag Press",
           .m_data_centres = {"kaitaia", "whangarei", "dargaville", "kerikeri"},
           .m_first_number = 111,
           .m_portal = "conditions",
           .m_archive = "topo",
           .m_slots = 2,
           .m_seed = 11}};
}

Deployments StartAll() {
  std::cout << "Scaled down: the users run 6 to 7 balancers and some 19 "
               "servers a data centre.\nNo delay between data centres.\n";
  Deployments deployments;
  for (const UserProfile& profile : Profiles()) {
    std::cout << DescribeProfile(profile) << std::endl;
    deployments.push_back(std::make_unique<UserDeployment>(profile));
  }
  return deployments;
}

void PrintConsoles(const Deployments& deployments) {
  std::cout << "Consoles (operator token: integration-test-token):\n";
  for (const auto& deployment : deployments) {
    const auto& names = deployment->profile().m_data_centres;
    for (std::size_t i = 0; i < names.size(); ++i)
      std::cout << "  " << names[i] << "  http://"
                << deployment->ConsoleEndpoint(i) << "/\n";
    std::cout << "  platform of " << deployment->profile().m_name << "  "
              << deployment->PlatformEndpoint() << "\n";
  }
  std::cout << std::flush;
}

void PrintProgress(const Deployments& deployments,
                   std::chrono::steady_clock::time_point start) {
  const auto elapsed = std::chrono::duration_cast<seconds>(
      std::chrono::steady_clock::now() - start);
  for (const auto& deployment : deployments)
    std::cout << DescribeProgress(elapsed, deployment->profile(),
                                  deployment->PollLoad())
              << std::endl;
}

void RunLoad(const Deployments& deployments, const RunOptions& run) {
  const auto start = std::chrono::steady_clock::now();
  for (const auto& deployment : deployments)
    deployment->StartLoad();
  while (!WaitForStop(kProgressInterval)) {
    PrintProgress(deployments, start);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    if (!run.m_is_endless && elapsed >= run.m_duration)
      return;
  }
}

int Run(const RunOptions& run) {
  PrepareStopSignals();
  const Deployments deployments = StartAll();
  PrintConsoles(deployments);
  RunLoad(deployments, run);
  std::cout << "Finishing open flows.\n" << std::flush;
  bool has_no_failures = true;
  for (const auto& deployment : deployments) {
    const LoadResult result = deployment->StopLoad();
    std::cout << DescribeResult(deployment->profile(), result) << std::endl;
    has_no_failures = has_no_failures && HasNoFailures(result);
  }
  std::cout << (has_no_failures ? "Nothing broke.\n" : "SOMETHING BROKE.\n");
  return has_no_failures ? kSuccess : kFailure;
}

int Main(int argument_count, char** arguments) {
  int duration = kDefaultSeconds;
  options::options_description description("Meta/run.sh [OPTIONS]");
  description.add_options()("help", "print this text")(
      "seconds", options::value(&duration)->default_value(kDefaultSeconds),
      "duration of the load in seconds")("keep", "run until Ctrl-C");
  options::variables_map values;
  options::store(
      options::parse_command_line(argument_count, arguments, description),
      values);
  options::notify(values);
  if (values.count("help") != 0) {
    std::cout << description;
    return kSuccess;
  }
  return Run({seconds(duration), values.count("keep") != 0});
}

}  // namespace

}  // namespace local_deployment

int main(int argument_count, char** arguments) {
  try {
    return local_deployment::Main(argument_count, arguments);
  } catch (const boost::program_options::error& error) {
    std::cerr << error.what() << "\n";
    return local_deployment::kUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return local_deployment::kFailure;
  }
}
