#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibConfiguration/yaml_parser.h"

using configuration::ParseYaml;
using configuration::ProblemKind;
using configuration::Problems;
using configuration::YamlNode;

namespace {

bool Reports(const std::string& text, ProblemKind kind) {
  const auto read = ParseYaml(text);
  const auto* problems = std::get_if<Problems>(&read);
  return problems != nullptr &&
         std::ranges::any_of(*problems, [&](const auto& problem) {
           return problem.m_kind == kind;
         });
}

}  // namespace

TEST_CASE("the parsed tree keeps duplicate keys, quoting and positions") {
  const auto read = ParseYaml("a: \"1\"\nb: [x, ~]\na: 2\n");

  REQUIRE(std::holds_alternative<YamlNode>(read));
  const auto& root = std::get<YamlNode>(read);
  REQUIRE(root.m_keys.size() == 3);
  CHECK(root.m_items[0].m_quoted);
  CHECK_FALSE(root.m_items[2].m_quoted);
  CHECK(root.m_items[1].m_items[1].m_kind == YamlNode::Kind::kNull);
  CHECK(FindPosition(root, "b[1]") == configuration::Position{2, 8});
  CHECK(FindPosition(root, "b[7].c") == configuration::Position{2, 4});
}

// Anchors, aliases, tags and second documents can hide or multiply content.
TEST_CASE(
    "anchors, aliases, tags, second documents and malformed texts are "
    "refused") {
  CHECK(Reports("a: &x [1]\nb: *x\n", ProblemKind::kSyntax));
  CHECK(Reports("&x [*x]", ProblemKind::kSyntax));
  CHECK(Reports("a: !!binary aGk=", ProblemKind::kSyntax));
  CHECK(Reports("a: 1\n---\nb: 2\n", ProblemKind::kSyntax));
  CHECK(Reports("? [a]\n: 1\n", ProblemKind::kWrongType));
  CHECK(Reports("", ProblemKind::kSyntax));
  CHECK(Reports("a: [1", ProblemKind::kSyntax));
}

TEST_CASE("a text with many errors gives a bounded list of problems") {
  std::string text = "[";
  for (int index = 0; index < 10'000; ++index)
    text += "!a b,";

  const auto read = ParseYaml(text + "]");

  REQUIRE(std::holds_alternative<Problems>(read));
  CHECK(std::get<Problems>(read).size() == configuration::kMaxProblems);
}

TEST_CASE("texts beyond the bounds of size, depth and nodes are refused") {
  const std::string nine_levels(9, '[');
  const std::string brackets(100'000, '[');
  std::string many = "[";
  for (std::size_t index = 0; index <= configuration::kMaxYamlNodes; ++index)
    many += "a,";
  many += "]";

  CHECK(Reports(nine_levels + std::string(9, ']'), ProblemKind::kTooDeep));
  CHECK(Reports(brackets, ProblemKind::kTooDeep));
  CHECK(Reports(many, ProblemKind::kTooLarge));
  CHECK(Reports(std::string(1'000'001, 'a'), ProblemKind::kTooLarge));
}
