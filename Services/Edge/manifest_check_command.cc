#include "manifest_check_command.h"

#include <signal.h>

#include <asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <utility>
#include <variant>

#include "LibCatalog/snapshot.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibHttp/client.h"
#include "LibObservability/log_format.h"
#include "peer_reader.h"
#include "settings_file.h"

namespace edge {

namespace {

// An operator waits for the response.
constexpr std::chrono::seconds kSnapshotTimeout{2};
constexpr std::uint16_t kHttpOk = 200;
// As many bytes as a snapshot, which contains the manifest, may have.
constexpr std::size_t kMaximumManifestBytes = catalog::kMaximumSnapshotBytes;

// A manifest to compare with, or the exit code of the failure to read it.
using ManifestOrCode = std::variant<steering::Manifest, ExitCode>;

// Replaces control characters, which a terminal would execute.
std::string Printable(std::string text) {
  std::ranges::replace_if(
      text,
      [](char byte) {
        constexpr unsigned char kFirstPrintable = 0x20;
        constexpr unsigned char kDelete = 0x7f;
        const auto value = static_cast<unsigned char>(byte);
        return value < kFirstPrintable || value == kDelete;
      },
      '?');
  return text;
}

ManifestFinding FindingOf(const configuration::Problem& problem) {
  return {problem.IsWarning(),
          std::string(NameOf(configuration::kProblemKindNames, problem.m_kind)),
          ToString(problem)};
}

base::Outcome<std::string> ReadManifestFile(const std::string& path) {
  auto text = ReadSettingsFile(path, kMaximumManifestBytes);
  if (!text)
    std::cerr << path << ": cannot be read: " << text.error().message() << "\n";
  return text;
}

ManifestOrCode ReadPrevious(const std::string& path) {
  const auto text = ReadManifestFile(path);
  if (!text)
    return ExitCode::kUsage;
  adapter::ManifestReport report = adapter::CheckManifest(text.value());
  if (report.m_manifest)
    return std::move(*report.m_manifest);
  std::cerr << path << ": not a valid manifest: " << report.m_problem << "\n";
  return ExitCode::kUsage;
}

base::Outcome<catalog::Snapshot> DecodeResponse(
    const base::Outcome<http::Response>& response) {
  if (!response)
    return response.error();
  // A balancer responds with another status until it has a view.
  if (response.value().m_status != kHttpOk)
    return std::make_error_code(std::errc::resource_unavailable_try_again);
  return catalog::DecodeSnapshot(response.value().m_body);
}

ManifestOrCode ReadRunning(base::Endpoint control) {
  asio::io_context context(1);
  http::Client client(context);
  http::Request request;
  request.m_endpoint = control;
  request.m_path = std::string(kSnapshotPath);
  request.m_timeout = kSnapshotTimeout;
  request.m_connect_timeout = kSnapshotTimeout;
  request.m_response_limit_bytes = catalog::kMaximumSnapshotBytes;
  ManifestOrCode result = ExitCode::kUnreachable;
  client.Send(request, [&](const base::Outcome<http::Response>& response) {
    auto snapshot = DecodeResponse(response);
    if (snapshot)
      result = std::move(snapshot).value().m_manifest;
    else
      std::cerr << "cannot read the manifest in force from the control "
                   "endpoint "
                << ToString(control) << ": " << snapshot.error().message()
                << "\n";
  });
  context.run();
  return result;
}

void WriteText(const std::string& path,
               const adapter::ManifestReport& report,
               const ManifestFindings& findings) {
  for (const ManifestFinding& finding : findings.m_findings)
    std::cerr << path << ": " << (finding.m_is_warning ? "warning" : "error")
              << ": " << Printable(finding.m_text) << "\n";
  if (report.m_manifest)
    std::cout << "version " << report.m_manifest->m_version.value() << ", "
              << report.m_manifest->m_routes.size() << " routes\n";
  if (!findings.m_changes)
    return;
  for (const adapter::ManifestChange& change : *findings.m_changes)
    std::cout << Printable(ToString(change)) << "\n";
  if (findings.m_changes->empty())
    std::cout << "no changes\n";
}

}  // namespace

ManifestFindings CollectFindings(const adapter::ManifestReport& report,
                                 const steering::Manifest* before) {
  ManifestFindings result;
  std::vector<ManifestFinding>& findings = result.m_findings;
  if (!report.m_manifest) {
    findings.push_back(
        {false, "syntax", "not a valid manifest: " + report.m_problem});
    return result;
  }
  for (const adapter::FieldProblem& problem : report.m_field_problems.list())
    findings.push_back(
        {IsWarning(problem),
         std::string(NameOf(adapter::kConsequenceNames, problem.m_consequence)),
         ToString(problem)});
  if (const std::size_t omitted = report.m_field_problems.Omitted())
    findings.push_back(
        {false, "too_large",
         std::to_string(omitted) + " more fields cannot be used as they are"});
  for (const configuration::Problem& problem : report.m_problems)
    findings.push_back(FindingOf(problem));
  if (before == nullptr)
    return result;
  for (const configuration::Problem& problem :
       adapter::CheckReplacement(*before, *report.m_manifest))
    findings.push_back(FindingOf(problem));
  result.m_changes = adapter::DifferenceBetween(*before, *report.m_manifest);
  return result;
}

void WriteJson(const adapter::ManifestReport& report,
               const ManifestFindings& findings,
               std::ostream& output) {
  output << "{";
  if (report.m_manifest)
    output << "\"version\":" << report.m_manifest->m_version.value()
           << ",\"routes\":" << report.m_manifest->m_routes.size() << ",";
  output << "\"problems\":[";
  const char* separator = "";
  for (const ManifestFinding& finding : findings.m_findings) {
    output << separator << "{\"severity\":\""
           << (finding.m_is_warning ? "warning" : "error") << "\",\"kind\":\""
           << finding.m_kind
           << "\",\"text\":" << observability::QuoteJson(finding.m_text) << "}";
    separator = ",";
  }
  output << "]";
  if (findings.m_changes) {
    output << ",\"changes\":[";
    separator = "";
    for (const adapter::ManifestChange& change : *findings.m_changes) {
      output << separator << observability::QuoteJson(ToString(change));
      separator = ",";
    }
    output << "]";
  }
  output << "}\n";
}

ExitCode ExitCodeFor(const ManifestFindings& findings) {
  if (findings.m_findings.empty())
    return ExitCode::kDone;
  return std::ranges::all_of(findings.m_findings,
                             &ManifestFinding::m_is_warning)
             ? ExitCode::kWarnings
             : ExitCode::kErrors;
}

ExitCode CheckManifest(const ManifestCheckOptions& options) {
  // A reader that closes the output early must not end the command.
  signal(SIGPIPE, SIG_IGN);
  const auto text = ReadManifestFile(options.m_path);
  if (!text)
    return ExitCode::kUsage;
  std::optional<ManifestOrCode> before;
  if (options.m_running)
    before = ReadRunning(*options.m_running);
  else if (!options.m_previous_path.empty())
    before = ReadPrevious(options.m_previous_path);
  const auto* manifest =
      before ? std::get_if<steering::Manifest>(&*before) : nullptr;
  const auto report = adapter::CheckManifest(text.value());
  const ManifestFindings findings = CollectFindings(report, manifest);
  if (options.m_format == ReportFormat::kJson)
    WriteJson(report, findings, std::cout);
  else
    WriteText(options.m_path, report, findings);
  std::cout.flush();
  if (before && manifest == nullptr)
    return std::get<ExitCode>(*before);
  return ExitCodeFor(findings);
}

}  // namespace edge
