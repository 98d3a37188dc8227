#include "submit_command.h"

#include <asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <optional>
#include <utility>
#include <variant>

#include "LibBase/overloaded.h"
#include "LibConfiguration/difference.h"
#include "LibConfiguration/document_reader.h"
#include "command_line.h"
#include "document_submitter.h"
#include "problem_report.h"

namespace service {

namespace {

using configuration::CheckedDocument;
using console::DocumentInForce;
using console::SubmitOutcome;

constexpr unsigned int kDefaultDeadlineSeconds = 15;

struct SubmitOptions {
  base::Endpoint m_platform;
  std::string m_path;
  // The version from which the file was made, if --base was given.
  std::optional<base::ConfigurationVersion> m_base;
  std::chrono::seconds m_deadline{kDefaultDeadlineSeconds};
};

boost::program_options::options_description MakeDescription() {
  boost::program_options::options_description description(
      "coltsfootdale submit --platform IP:PORT --document FILE [--base N]\n"
      "Validates a document, shows what it changes and submits it whole.\n"
      "The file must have been made from the version in force: either it\n"
      "still holds the submission of that version, or --base names it.\n"
      "Exit codes: 0 accepted, 1 refused, 2 usage, 3 conflict,\n"
      "4 platform unreachable or outcome unknown.\n\nOptions");
  const auto text = [] { return boost::program_options::value<std::string>(); };
  description.add_options()("help", "print this text")(
      "platform", text(), "the platform's object API")(
      "document", text(), "the configuration document")(
      "base", boost::program_options::value<std::uint64_t>(),
      "the version that the file was made from; 0 if no document exists")(
      "deadline",
      boost::program_options::value<unsigned int>()->default_value(
          kDefaultDeadlineSeconds),
      "seconds until a submission without an outcome is abandoned");
  return description;
}

std::optional<SubmitOptions> ReadOptions(
    const boost::program_options::variables_map& values) {
  const auto platform = EndpointOption(values, "platform");
  const auto path = TextOption(values, "document");
  if (!path)
    std::cerr << "--document FILE is missing\n";
  if (!platform || !path)
    return std::nullopt;
  SubmitOptions options;
  options.m_platform = *platform;
  options.m_path = *path;
  if (values.count("base") != 0)
    options.m_base =
        base::ConfigurationVersion(values["base"].as<std::uint64_t>());
  options.m_deadline =
      std::chrono::seconds(values["deadline"].as<unsigned int>());
  return options;
}

std::optional<DocumentInForce> FetchCurrent(const base::Endpoint& endpoint) {
  asio::io_context context;
  platform::PlatformClient client(context, endpoint);
  std::optional<DocumentInForce> current;
  client.Get(kDocumentKey, [&current](const platform::ReadResult& result) {
    current = ReadDocumentInForce(result);
  });
  context.run();
  return current;
}

// Whether the file was made from version `current`.
bool IsMadeFrom(const DocumentInForce& current,
                const SubmitOptions& options,
                const configuration::Document& document) {
  if (options.m_base)
    return *options.m_base == current.m_version;
  return document.m_submission == current.m_document.m_submission;
}

ExitCode PrintConflict(const DocumentInForce& current,
                       const configuration::Document& document) {
  std::cerr << "conflict: version " << current.m_version.value()
            << " is in force and the document was not made from it.\n"
            << "From that version to the document:\n"
            << ToString(DifferenceBetween(current.m_document, document));
  return ExitCode::kConflict;
}

ExitCode PrintOutcome(const SubmitOutcome& outcome,
                      const configuration::Document& document) {
  return std::visit(
      base::Overloaded{
          [](const console::SubmitAccepted& accepted) {
            std::cout << "accepted as version " << accepted.m_version.value()
                      << "\n";
            return ExitCode::kDone;
          },
          [](const console::SubmitRefused& refused) {
            std::cerr << "refused: " << refused.m_reason << "\n";
            return ExitCode::kRefused;
          },
          [&](const console::SubmitConflict& conflict) {
            return PrintConflict(conflict.m_current, document);
          },
          [](const console::SubmitUnavailable&) {
            std::cerr << "the platform cannot be reached; nothing took "
                         "effect\n";
            return ExitCode::kUnreachable;
          },
          [](const console::SubmitUnknown& unknown) {
            std::cerr << "the outcome of submission " << unknown.m_submission
                      << " is unknown; look for it in the document in force "
                         "before you submit again\n";
            return ExitCode::kUnreachable;
          }},
      outcome);
}

ExitCode SubmitChecked(const SubmitOptions& options,
                       const DocumentInForce& current,
                       configuration::Document document) {
  document.m_submission = current.m_document.m_submission;
  document.m_previous_submissions = current.m_document.m_previous_submissions;
  asio::io_context context;
  platform::PlatformClient client(context, options.m_platform);
  DocumentSubmitter submitter(context, client, options.m_deadline);
  std::optional<SubmitOutcome> outcome;
  submitter.Submit(
      current.m_version, document,
      [&outcome](const SubmitOutcome& settled) { outcome = settled; });
  context.run();
  return PrintOutcome(*outcome, document);
}

ExitCode Submit(const SubmitOptions& options) {
  const auto text = ReadTextFile(options.m_path);
  if (!text)
    return ExitCode::kUsage;
  const auto reading = configuration::ReadDocument(*text);
  if (const auto* problems = std::get_if<configuration::Problems>(&reading)) {
    PrintProblems(options.m_path, *problems);
    return ExitCode::kRefused;
  }
  const auto& document = std::get<configuration::Document>(reading);
  const auto current = FetchCurrent(options.m_platform);
  if (!current) {
    std::cerr << ToString(options.m_platform)
              << ": the document in force cannot be read from the platform\n";
    return ExitCode::kUnreachable;
  }
  if (!IsMadeFrom(*current, options, document))
    return PrintConflict(*current, document);
  const auto replacement =
      configuration::ReadReplacement(*text, current->m_document);
  if (const auto* problems =
          std::get_if<configuration::Problems>(&replacement)) {
    PrintProblems(options.m_path, *problems);
    return ExitCode::kRefused;
  }
  const auto& checked = std::get<CheckedDocument>(replacement);
  PrintProblems(options.m_path, checked.m_warnings);
  std::cout << ToString(
      DifferenceBetween(current->m_document, checked.m_document));
  return SubmitChecked(options, *current, checked.m_document);
}

}  // namespace

int RunSubmit(const std::vector<std::string>& arguments) {
  const auto parsed = ParseArguments(MakeDescription(), arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed))
    return ToInt(*code);
  const auto options =
      ReadOptions(std::get<boost::program_options::variables_map>(parsed));
  return ToInt(options ? Submit(*options) : ExitCode::kUsage);
}

}  // namespace service
