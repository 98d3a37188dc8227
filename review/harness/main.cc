// Runs one case: review-case CASE PROGRAM FOLDER RECORD. With TROUBLE=0 in the
// environment, the same without the disruption.

#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <system_error>

#include "cases.h"

namespace {

using review::ScenarioOptions;
using Case = std::function<int(const ScenarioOptions&, std::uint32_t)>;

constexpr int kCouldNotRun = 2;
constexpr int kArguments = 5;
constexpr std::uint32_t kFirstNetwork = 100;
constexpr std::uint32_t kNetworks = 100;

int Run(const Case& run, const ScenarioOptions& options) {
  const auto start = static_cast<std::uint32_t>(getpid());
  for (std::uint32_t i = 0; i < kNetworks; ++i) {
    try {
      return run(options, kFirstNetwork + (start + i) % kNetworks);
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::address_in_use)
        throw;
    }
  }
  std::cout << "no free loopback addresses\n";
  return kCouldNotRun;
}

}  // namespace

int main(int count, char** arguments) {
  const std::map<std::string, Case> cases = {
      {"nested-entry", review::RunNestedEntry},
      {"unreadable-entry", review::RunUnreadableEntry},
      {"incomplete-entry", review::RunIncompleteEntry},
      {"readers-cut-off", review::RunReadersCutOff},
      {"manifest-storm", review::RunManifestStorm},
      {"added-route", review::RunAddedRoute},
  };
  try {
    if (count != kArguments || !cases.contains(arguments[1])) {
      std::cout << "usage: review-case CASE PROGRAM FOLDER RECORD\n";
      return kCouldNotRun;
    }
    ScenarioOptions options;
    const char* trouble = std::getenv("TROUBLE");
    options.m_has_trouble = trouble == nullptr || std::string(trouble) != "0";
    options.m_program = arguments[2];
    options.m_folder = arguments[3];
    options.m_record = arguments[4];
    return Run(cases.at(arguments[1]), options);
  } catch (const std::exception& error) {
    std::cout << "the case could not run: " << error.what() << "\n";
    return kCouldNotRun;
  }
}
