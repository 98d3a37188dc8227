// The edge balancer's command line.

#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "check_settings.h"
#include "edge_process.h"
#include "platform/names.h"

namespace {

namespace options = boost::program_options;

constexpr int kDone = 0;
constexpr int kSettingsRefused = 1;
constexpr int kUsage = 2;
constexpr int kCannotListen = 4;
constexpr const char* kVersion = "coltsfootdale-edge 0.2";

options::options_description MakeDescription() {
  options::options_description description(
      "coltsfootdale-edge run|check [--settings FILE]\n"
      "  run    steers flows until SIGTERM or SIGINT\n"
      "  check  prints every problem of the settings\n"
      "Exit codes: 0 done, 1 the settings are refused, 2 usage,\n"
      "4 a socket cannot be bound.\n\nOptions");
  description.add_options()("help", "print this text")("version",
                                                       "print the version")(
      "settings", options::value<std::string>(),
      "the settings file; without it the environment variable\n"
      "COLTSFOOTDALE_CONFIG names it")(
      "metrics-port", options::value<std::uint16_t>(),
      "the TCP port of metrics and status; without it the first of\n"
      "the settings' internal ports")("command", options::value<std::string>(),
                                      "run or check");
  return description;
}

std::string SettingsPath(const options::variables_map& values) {
  if (values.contains("settings"))
    return values["settings"].as<std::string>();
  const char* path = std::getenv(adapter::kSettingsVariable);
  return path == nullptr ? std::string() : path;
}

int Check(const std::string& path) {
  const auto reading = edge::LoadSettings(path);
  const auto* problems = std::get_if<configuration::Problems>(&reading);
  if (problems == nullptr)
    return kDone;
  for (const configuration::Problem& problem : *problems)
    std::cerr << path << ": " << ToString(problem) << "\n";
  return kSettingsRefused;
}

int Run(const std::string& path, const options::variables_map& values) {
  if (Check(path) != kDone)
    return kSettingsRefused;
  const auto settings = std::get<edge::EdgeSettings>(edge::LoadSettings(path));
  std::optional<std::uint16_t> metrics_port;
  if (values.contains("metrics-port"))
    metrics_port = values["metrics-port"].as<std::uint16_t>();
  auto process = edge::EdgeProcess::Create(settings, path, metrics_port);
  if (!process) {
    std::cerr << "cannot start: " << process.error().message() << "\n";
    return kCannotListen;
  }
  process.value()->Run();
  return kDone;
}

int Dispatch(const options::variables_map& values,
             const options::options_description& description) {
  if (values.contains("help")) {
    std::cout << description;
    return kDone;
  }
  if (values.contains("version")) {
    std::cout << kVersion << "\n";
    return kDone;
  }
  const std::string path = SettingsPath(values);
  const std::string command =
      values.contains("command") ? values["command"].as<std::string>() : "";
  if (path.empty())
    std::cerr << "no settings file given\n";
  else if (command == "run")
    return Run(path, values);
  else if (command == "check")
    return Check(path);
  std::cerr << description;
  return kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  const options::options_description description = MakeDescription();
  options::positional_options_description positions;
  positions.add("command", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positions)
                       .run(),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return kUsage;
  }
  return Dispatch(values, description);
}
