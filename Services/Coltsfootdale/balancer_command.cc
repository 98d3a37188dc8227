#include "balancer_command.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <variant>

#include "LibConfiguration/settings_reader.h"
#include "LibObservability/log.h"
#include "balancer_process.h"
#include "command_line.h"
#include "exit_code.h"
#include "problem_report.h"

namespace service {

namespace {

namespace options = boost::program_options;

int RunWithSettings(const configuration::Settings& settings) {
  observability::StartLog(observability::LogDestination::kStandardOutput);
  auto process = BalancerProcess::Create(settings);
  if (!process) {
    std::cerr << "the balancer cannot start: " << process.error().message()
              << "\n";
    return ToInt(ExitCode::kUnreachable);
  }
  process.value()->Run();
  return ToInt(ExitCode::kDone);
}

int RunWithFile(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text)
    return ToInt(ExitCode::kUsage);
  const auto reading = configuration::ReadSettings(*text);
  if (const auto* problems = std::get_if<configuration::Problems>(&reading)) {
    PrintProblems(path, *problems);
    return ToInt(ExitCode::kRefused);
  }
  return RunWithSettings(std::get<configuration::Settings>(reading));
}

}  // namespace

int RunBalancer(const std::vector<std::string>& arguments) {
  options::options_description description(
      "coltsfootdale balancer --settings FILE\n"
      "Runs a balancer until SIGTERM or SIGINT, which start a graceful\n"
      "shutdown.\n"
      "Exit codes: 0 stopped, 1 the settings are refused, 2 usage,\n"
      "4 a socket cannot be bound.\n\nOptions");
  description.add_options()("help", "print this text")(
      "settings", options::value<std::string>(),
      "the YAML file with the settings of this process");
  const ParsedArguments parsed = ParseArguments(description, arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed))
    return ToInt(*code);
  const auto path =
      TextOption(std::get<options::variables_map>(parsed), "settings");
  if (!path) {
    std::cerr << description;
    return ToInt(ExitCode::kUsage);
  }
  return RunWithFile(*path);
}

}  // namespace service
