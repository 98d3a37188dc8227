#include "check_command.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <algorithm>
#include <iostream>
#include <variant>

#include "LibConfiguration/difference.h"
#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/settings_reader.h"
#include "command_line.h"
#include "problem_report.h"

namespace service {

namespace {

using configuration::CheckedDocument;
using configuration::Document;
using configuration::Problems;

boost::program_options::options_description MakeDescription() {
  boost::program_options::options_description description(
      "coltsfootdale check [--settings FILE]\n"
      "                    [--document FILE [--previous FILE]]\n"
      "Validates files and lists every error.\n"
      "Exit codes: 0 valid, 1 refused, 2 usage.\n\nOptions");
  const auto file = [] { return boost::program_options::value<std::string>(); };
  description.add_options()("help", "print this text")(
      "settings", file(), "the settings of a process")(
      "document", file(), "a configuration document")(
      "previous", file(), "the document that --document replaces");
  return description;
}

ExitCode CheckSettings(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text)
    return ExitCode::kUsage;
  const auto reading = configuration::ReadSettings(*text);
  if (const auto* problems = std::get_if<Problems>(&reading)) {
    PrintProblems(path, *problems);
    return ExitCode::kRefused;
  }
  std::cout << path << ": valid settings\n";
  return ExitCode::kDone;
}

ExitCode CheckDocument(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text)
    return ExitCode::kUsage;
  const auto reading = configuration::ReadDocument(*text);
  if (const auto* problems = std::get_if<Problems>(&reading)) {
    PrintProblems(path, *problems);
    return ExitCode::kRefused;
  }
  std::cout << path << ": valid document\n";
  return ExitCode::kDone;
}

ExitCode CheckReplacement(const std::string& path,
                          const std::string& previous_path) {
  const auto text = ReadTextFile(path);
  const auto previous_text = ReadTextFile(previous_path);
  if (!text || !previous_text)
    return ExitCode::kUsage;
  const auto previous = configuration::ReadDocument(*previous_text);
  if (const auto* problems = std::get_if<Problems>(&previous)) {
    PrintProblems(previous_path, *problems);
    return ExitCode::kRefused;
  }
  const auto& old_document = std::get<Document>(previous);
  const auto reading = configuration::ReadReplacement(*text, old_document);
  if (const auto* problems = std::get_if<Problems>(&reading)) {
    PrintProblems(path, *problems);
    return ExitCode::kRefused;
  }
  const auto& checked = std::get<CheckedDocument>(reading);
  PrintProblems(path, checked.m_warnings);
  std::cout << path << ": valid replacement\n"
            << ToString(DifferenceBetween(old_document, checked.m_document));
  return ExitCode::kDone;
}

}  // namespace

int RunCheck(const std::vector<std::string>& arguments) {
  const auto description = MakeDescription();
  const auto parsed = ParseArguments(description, arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed))
    return ToInt(*code);
  const auto& values = std::get<boost::program_options::variables_map>(parsed);
  const auto settings = TextOption(values, "settings");
  const auto document = TextOption(values, "document");
  const auto previous = TextOption(values, "previous");
  if ((!settings && !document) || (previous && !document)) {
    std::cerr << description;
    return ToInt(ExitCode::kUsage);
  }
  ExitCode code = ExitCode::kDone;
  if (settings)
    code = std::max(code, CheckSettings(*settings));
  if (document)
    code = std::max(code, previous ? CheckReplacement(*document, *previous)
                                   : CheckDocument(*document));
  return ToInt(code);
}

}  // namespace service
