#include "LibConfiguration/yaml_parser.h"

#include <fmt/format.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <sstream>
#include <string>

#include "LibConfiguration/yaml_tree_builder.h"

namespace configuration {

namespace {

Problems OneProblem(ProblemKind kind,
                    const std::string& message,
                    Position position = {1, 1}) {
  return {{kind, "", message, position}};
}

}  // namespace

ValueOrProblems<YamlNode> ParseYaml(std::string_view text) {
  if (text.size() > kMaxTextBytes)
    return OneProblem(ProblemKind::kTooLarge,
                      fmt::format("the text is {} bytes long, the limit is {}",
                                  text.size(), kMaxTextBytes));
  YamlTreeBuilder builder;
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    while (builder.DocumentCount() < 2 && parser.HandleNextDocument(builder)) {
    }
  } catch (const YAML::Exception& error) {
    // Report the problems before the syntax error as well.
    Problems problems = builder.problems();
    problems.push_back({ProblemKind::kSyntax, "", error.msg,
                        Position{error.mark.line + 1, error.mark.column + 1}});
    return problems;
  } catch (const std::exception& error) {
    return OneProblem(ProblemKind::kSyntax, error.what());
  }
  if (builder.DocumentCount() == 0)
    return OneProblem(ProblemKind::kSyntax, "the text is empty");
  if (!builder.problems().empty())
    return builder.problems();
  return builder.root();
}

}  // namespace configuration
