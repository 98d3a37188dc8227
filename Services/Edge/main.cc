// The command line of the edge balancer.

#include <unistd.h>

#include <asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibObservability/non_blocking_log.h"
#include "LibSteering/extra_budget.h"
#include "commands.h"
#include "control_signals.h"
#include "edge_process.h"
#include "exit_code.h"
#include "manifest_check_command.h"
#include "platform/names.h"
#include "settings_wait.h"

namespace {

namespace options = boost::program_options;

using edge::ExitCode;

constexpr const char* kVersion = "coltsfootdale-edge 0.2";

// The dynamic loader calls the executable's .preinit_array before all static
// initialisers; it has no entries of libraries.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kFirstCall)() = edge::BlockControlSignals;

options::options_description MakeDescription() {
  options::options_description description(
      "coltsfootdale-edge COMMAND [OPTIONS]\n"
      "  run      balances flows until SIGTERM or SIGINT\n"
      "  check    prints every problem in the settings or in a manifest\n"
      "  status   prints the status of a running balancer (JSON)\n"
      "  explain  prints the log lines about a request\n"
      "Exit codes: 0 done, 1 the input is invalid or no log line contains the\n"
      "request, 2 usage, 4 a socket cannot be bound or the balancer does not\n"
      "respond, 5 an internal error. check --manifest: 0 no problems, 1\n"
      "warnings, 2 errors.\n\nOptions");
  auto add = description.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("settings", options::value<std::string>(),
      "run, check: the settings file; by default the path "
      "in the environment variable COLTSFOOTDALE_CONFIG");
  add("metrics-port", options::value<std::uint16_t>(),
      "run: the TCP port of metrics and status; by default "
      "the first of the settings' internal ports");
  add("extra-openings-percent", options::value<double>(),
      "run: the extra openings against slow answers, in percent "
      "of the openings of the last 10 s: 0 (none, the default) "
      "to 20");
  add("manifest", options::value<std::string>(),
      "check: a file with a manifest's object, checked instead "
      "of settings");
  add("previous", options::value<std::string>(),
      "check: a file with the manifest before, to print the "
      "changes");
  add("running", options::value<std::string>(),
      "check: IP:PORT of the control endpoint of a balancer, to "
      "print the changes from its manifest in force");
  add("format", options::value<std::string>()->default_value("text"),
      "check: text or json, for a manifest");
  add("address", options::value<std::string>(),
      "status: IP:PORT of the balancer's metrics endpoint");
  add("request", options::value<std::string>(), "explain: the request's id");
  add("log", options::value<std::vector<std::string>>()->multitoken(),
      "explain: log files of the balancers");
  add("command", options::value<std::string>(), "run, check, status, explain");
  return description;
}

std::string TextOption(const options::variables_map& values,
                       const std::string& name) {
  return values.contains(name) ? values[name].as<std::string>() : "";
}

std::string SettingsPath(const options::variables_map& values) {
  if (values.contains("settings"))
    return TextOption(values, "settings");
  const char* path = std::getenv(adapter::kSettingsVariable);
  return path == nullptr ? std::string() : path;
}

// Zero if the option is absent.
double ExtraOpeningsPercent(const options::variables_map& values) {
  constexpr const char* kName = "extra-openings-percent";
  return values.contains(kName) ? values[kName].as<double>() : 0;
}

// A value that is not a number is invalid too.
bool IsValidPercent(double percent) {
  return percent >= 0 && percent <= steering::ExtraBudget::kMaximumPercent;
}

ExitCode RunBalancer(const options::variables_map& values) {
  const std::string path = SettingsPath(values);
  // No file appears at an empty path.
  if (path.empty())
    return edge::CheckSettings(path);
  asio::io_context context(1);
  edge::ControlSignals signals(context);
  edge::SettingsWait settings_wait(context, signals, path);
  const auto result = settings_wait.Run();
  const auto* settings = std::get_if<edge::EdgeSettings>(&result);
  if (settings == nullptr)
    return std::get<ExitCode>(result);
  std::optional<std::uint16_t> metrics_port;
  if (values.contains("metrics-port"))
    metrics_port = values["metrics-port"].as<std::uint16_t>();
  edge::EdgeProcess process(context, signals, *settings, path, metrics_port,
                            ExtraOpeningsPercent(values));
  return process.Run();
}

ExitCode Run(const options::variables_map& values) {
  try {
    return RunBalancer(values);
  } catch (const std::exception& error) {
    observability::NonBlockingLog log(STDOUT_FILENO, 1);
    log.Write(observability::Severity::kError,
              observability::Event::kProcessFailed, {{"error", error.what()}});
    return ExitCode::kInternalError;
  }
}

std::optional<ExitCode> CheckManifest(const options::variables_map& values) {
  edge::ManifestCheckOptions check;
  check.m_path = TextOption(values, "manifest");
  check.m_previous_path = TextOption(values, "previous");
  check.m_running = base::ParseEndpoint(TextOption(values, "running"));
  const std::string format = TextOption(values, "format");
  if (format == "json")
    check.m_format = edge::ReportFormat::kJson;
  else if (format != "text")
    return std::nullopt;
  if (values.contains("running") &&
      (!check.m_running || values.contains("previous")))
    return std::nullopt;
  return edge::CheckManifest(check);
}

std::optional<ExitCode> Dispatch(const options::variables_map& values) {
  const std::string command = TextOption(values, "command");
  if (!IsValidPercent(ExtraOpeningsPercent(values)))
    return std::nullopt;
  if (command == "run")
    return Run(values);
  edge::RestoreDefaultSignals();
  if (command == "check" && values.contains("manifest"))
    return CheckManifest(values);
  if (command == "check" &&
      (values.contains("previous") || values.contains("running")))
    return std::nullopt;
  if (command == "check")
    return edge::CheckSettings(SettingsPath(values));
  const auto address = base::ParseEndpoint(TextOption(values, "address"));
  if (command == "status" && address)
    return edge::PrintStatus(*address);
  if (command == "explain" && values.contains("request") &&
      values.contains("log"))
    return edge::ExplainRequest(TextOption(values, "request"),
                                values["log"].as<std::vector<std::string>>());
  return std::nullopt;
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
    return static_cast<int>(ExitCode::kUsage);
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (values.contains("version")) {
    std::cout << kVersion << "\n";
    return 0;
  }
  const auto code = Dispatch(values);
  if (!code)
    std::cerr << description;
  return static_cast<int>(code.value_or(ExitCode::kUsage));
}
