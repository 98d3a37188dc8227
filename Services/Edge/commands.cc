#include "commands.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <fstream>
#include <iostream>
#include <variant>

#include "LibHttp/client.h"
#include "LibLogTrace/log_trace.h"
#include "settings_file.h"

namespace edge {

namespace {

// An operator waits for the response.
constexpr std::chrono::seconds kStatusTimeout{2};

bool AppendLines(const std::string& path,
                 std::vector<log_trace::SourcedLine>& lines) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return false;
  }
  std::string line;
  while (std::getline(file, line))
    lines.push_back({path, line});
  return true;
}

}  // namespace

ExitCode CheckSettings(const std::string& path) {
  const auto result = LoadSettings(path);
  const auto* problems = std::get_if<configuration::Problems>(&result);
  if (problems == nullptr)
    return ExitCode::kDone;
  for (const configuration::Problem& problem : *problems)
    std::cerr << path << ": " << ToString(problem) << "\n";
  return ExitCode::kRefused;
}

ExitCode PrintStatus(base::Endpoint metrics) {
  asio::io_context context(1);
  http::Client client(context);
  http::Request request;
  request.m_endpoint = metrics;
  request.m_path = "/status";
  request.m_timeout = kStatusTimeout;
  ExitCode code = ExitCode::kUnreachable;
  client.Send(request, [&code](const base::Outcome<http::Response>& response) {
    if (!response) {
      std::cerr << "cannot read the balancer's status: "
                << response.error().message() << "\n";
      return;
    }
    std::cout << response.value().m_body;
    code = ExitCode::kDone;
  });
  context.run();
  return code;
}

ExitCode ExplainRequest(const std::string& request,
                        const std::vector<std::string>& log_paths) {
  std::vector<log_trace::SourcedLine> lines;
  for (const std::string& path : log_paths) {
    if (!AppendLines(path, lines))
      return ExitCode::kUsage;
  }
  const auto trace = log_trace::TraceRequest(lines, request);
  if (trace.empty()) {
    std::cerr << "no log line contains the request " << request << "\n";
    return ExitCode::kRefused;
  }
  for (const log_trace::SourcedLine& line : trace)
    std::cout << line.m_source << ": " << line.m_text << "\n";
  return ExitCode::kDone;
}

}  // namespace edge
