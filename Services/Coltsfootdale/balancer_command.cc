#include "balancer_command.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <variant>

#include "LibConfiguration/settings_reader.h"
#include "LibObservability/log.h"
#include "balancer_process.h"
#include "exit_code.h"

namespace service {

namespace {

namespace options = boost::program_options;

int RunWithSettings(const configuration::Settings& settings) {
  observability::StartLog(observability::LogDestination::kStandardOutput);
  auto process = BalancerProcess::Create(settings);
  if (!process) {
    std::cerr << "cannot start: " << process.error().message() << "\n";
    return ToInt(ExitCode::kUnreachable);
  }
  process.value()->Run();
  return ToInt(ExitCode::kDone);
}

int RunWithFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "cannot read " << path << "\n";
    return ToInt(ExitCode::kUsage);
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto reading = configuration::ReadSettings(text.str());
  if (const auto* problems = std::get_if<configuration::Problems>(&reading)) {
    for (const configuration::Problem& problem : *problems)
      std::cerr << path << ": " << ToString(problem) << "\n";
    return ToInt(ExitCode::kRefused);
  }
  return RunWithSettings(std::get<configuration::Settings>(reading));
}

}  // namespace

int RunBalancer(const std::vector<std::string>& arguments) {
  options::options_description description(
      "coltsfootdale balancer --settings FILE");
  description.add_options()("help", "print this text")(
      "settings", options::value<std::string>(),
      "the YAML file with the settings of this process");
  try {
    options::variables_map values;
    options::store(
        options::command_line_parser(arguments).options(description).run(),
        values);
    if (values.count("help") != 0) {
      std::cout << description;
      return ToInt(ExitCode::kDone);
    }
    if (values.count("settings") == 0) {
      std::cerr << description;
      return ToInt(ExitCode::kUsage);
    }
    return RunWithFile(values["settings"].as<std::string>());
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return ToInt(ExitCode::kUsage);
  }
}

}  // namespace service
