#include "LibConfiguration/map_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace configuration {

namespace {

// The maximum length of a refused value in an error message.
constexpr std::size_t kMaxQuotedBytes = 80;

const std::vector<YamlNode> kNoItems;

std::string Quote(const std::string& text) {
  if (text.size() <= kMaxQuotedBytes)
    return fmt::format("\"{}\"", text);
  return fmt::format("\"{}...\"", text.substr(0, kMaxQuotedBytes));
}

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

bool IsPrintable(char character) {
  return character > ' ' && character <= '~';
}

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

bool IsWholeNumber(std::string_view text) {
  if (text.starts_with('-'))
    text.remove_prefix(1);
  return !text.empty() && std::ranges::all_of(text, IsDigit);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

}  // namespace

MapReader::MapReader(const YamlNode& node, std::string path, Problems& problems)
    : m_node(node), m_path(std::move(path)), m_problems(problems) {
  if (m_node.m_kind != YamlNode::Kind::kMap)
    AddProblem(m_problems, {ProblemKind::kWrongType, m_path,
                            "a map of keys is expected", m_node.m_position});
}

std::string MapReader::RequiredName(std::string_view key) {
  return ReadName(key, RequiredScalar(key));
}

std::string MapReader::OptionalName(std::string_view key) {
  return ReadName(key, OptionalScalar(key));
}

std::string MapReader::RequiredSecret(std::string_view key,
                                      IntegerRange length) {
  const YamlNode* node = RequiredScalar(key);
  if (node == nullptr)
    return {};
  const std::size_t size = node->m_text.size();
  if (size < length.m_least || size > length.m_greatest)
    Report(size < length.m_least ? ProblemKind::kOutOfRange
                                 : ProblemKind::kTooLong,
           key, node->m_position,
           fmt::format("{} to {} characters are expected", length.m_least,
                       length.m_greatest));
  else if (!std::ranges::all_of(node->m_text, IsPrintable))
    Report(ProblemKind::kWrongType, key, node->m_position,
           "printable ASCII characters without spaces are expected");
  return node->m_text;
}

base::Endpoint MapReader::RequiredEndpoint(std::string_view key,
                                           IntegerRange port) {
  const YamlNode* node = RequiredScalar(key);
  if (node == nullptr)
    return {};
  const auto endpoint = base::ParseEndpoint(node->m_text);
  if (!endpoint) {
    Report(
        ProblemKind::kWrongType, key, node->m_position,
        fmt::format("{} is not an IPv4 address and port", Quote(node->m_text)));
    return {};
  }
  if (endpoint->m_port < port.m_least || endpoint->m_port > port.m_greatest)
    Report(ProblemKind::kOutOfRange, key, node->m_position,
           fmt::format("a port from {} to {} is expected", port.m_least,
                       port.m_greatest));
  return *endpoint;
}

std::uint64_t MapReader::RequiredInteger(std::string_view key,
                                         IntegerRange range) {
  const YamlNode* node = RequiredScalar(key);
  if (node == nullptr)
    return range.m_least;
  return ParseInteger(key, *node, range).value_or(range.m_least);
}

std::uint64_t MapReader::IntegerOr(std::string_view key,
                                   std::uint64_t fallback,
                                   IntegerRange range) {
  return OptionalInteger(key, range).value_or(fallback);
}

std::optional<std::uint64_t> MapReader::OptionalInteger(std::string_view key,
                                                        IntegerRange range) {
  const YamlNode* node = OptionalScalar(key);
  if (node == nullptr)
    return std::nullopt;
  return ParseInteger(key, *node, range);
}

double MapReader::NumberOr(std::string_view key,
                           double fallback,
                           NumberRange range) {
  const YamlNode* node = OptionalScalar(key);
  if (node == nullptr)
    return fallback;
  const auto number = ParseNumber<double>(node->m_text);
  if (!number || !std::isfinite(*number) || node->m_quoted) {
    Report(ProblemKind::kWrongType, key, node->m_position,
           fmt::format("{} is not an unquoted finite number",
                       Quote(node->m_text)));
    return fallback;
  }
  if (*number < range.m_least || *number > range.m_greatest)
    Report(ProblemKind::kOutOfRange, key, node->m_position,
           fmt::format("a number from {} to {} is expected", range.m_least,
                       range.m_greatest));
  return *number;
}

bool MapReader::BooleanOr(std::string_view key, bool fallback) {
  const YamlNode* node = OptionalScalar(key);
  if (node == nullptr)
    return fallback;
  if (node->m_quoted || (node->m_text != "true" && node->m_text != "false"))
    Report(ProblemKind::kWrongType, key, node->m_position,
           fmt::format("{} is neither an unquoted true nor an unquoted false",
                       Quote(node->m_text)));
  return node->m_text == "true";
}

const YamlNode* MapReader::OptionalNode(std::string_view key) {
  m_known_keys.emplace(key);
  return FindValue(m_node, key);
}

const std::vector<YamlNode>& MapReader::OptionalItems(std::string_view key,
                                                      std::size_t max_items) {
  const YamlNode* node = OptionalNode(key);
  if (node == nullptr)
    return kNoItems;
  if (node->m_kind != YamlNode::Kind::kSequence) {
    Report(ProblemKind::kWrongType, key, node->m_position,
           "a list is expected");
    return kNoItems;
  }
  if (node->m_items.size() > max_items) {
    Report(ProblemKind::kTooLarge, key, node->m_position,
           fmt::format("a list of at most {} items is expected", max_items));
    return kNoItems;
  }
  return node->m_items;
}

void MapReader::ReportUnexpectedKeys() {
  std::set<std::string_view> seen;
  for (const YamlKey& key : m_node.m_keys) {
    const std::string quoted_key = key.m_text.substr(0, kMaxQuotedBytes);
    if (!m_known_keys.contains(key.m_text))
      Report(ProblemKind::kUnknownKey, quoted_key, key.m_position,
             "there is no such key");
    if (!seen.insert(key.m_text).second)
      Report(ProblemKind::kDuplicateKey, quoted_key, key.m_position,
             "the key appears more than once");
  }
}

std::string MapReader::PathOf(std::string_view key) const {
  if (m_path.empty())
    return std::string(key);
  return fmt::format("{}.{}", m_path, key);
}

const YamlNode* MapReader::RequiredNode(std::string_view key) {
  const YamlNode* node = OptionalNode(key);
  if (node == nullptr && m_node.m_kind == YamlNode::Kind::kMap)
    Report(ProblemKind::kMissingKey, key, m_node.m_position,
           "the key is missing");
  return node;
}

const YamlNode* MapReader::RequiredScalar(std::string_view key) {
  return CheckScalar(key, RequiredNode(key));
}

const YamlNode* MapReader::OptionalScalar(std::string_view key) {
  return CheckScalar(key, OptionalNode(key));
}

const YamlNode* MapReader::CheckScalar(std::string_view key,
                                       const YamlNode* node) {
  if (node == nullptr || node->m_kind == YamlNode::Kind::kScalar)
    return node;
  Report(ProblemKind::kWrongType, key, node->m_position,
         "a single value is expected");
  return nullptr;
}

std::string MapReader::ReadName(std::string_view key, const YamlNode* node) {
  if (node == nullptr)
    return {};
  const bool is_name = !node->m_text.empty() &&
                       std::ranges::all_of(node->m_text, IsNameCharacter);
  if (node->m_text.size() > kMaxNameBytes)
    Report(ProblemKind::kTooLong, key, node->m_position,
           fmt::format("a name has at most {} characters", kMaxNameBytes));
  else if (!is_name)
    Report(ProblemKind::kWrongType, key, node->m_position,
           fmt::format("{} is not a name; a name consists of letters, digits, "
                       "'-', '_' and '.'",
                       Quote(node->m_text)));
  return node->m_text;
}

std::optional<std::uint64_t> MapReader::ParseInteger(std::string_view key,
                                                     const YamlNode& node,
                                                     IntegerRange range) {
  if (node.m_quoted || !IsWholeNumber(node.m_text)) {
    Report(
        ProblemKind::kWrongType, key, node.m_position,
        fmt::format("{} is not an unquoted whole number", Quote(node.m_text)));
    return std::nullopt;
  }
  const auto number = ParseNumber<std::uint64_t>(node.m_text);
  if (!number || *number < range.m_least || *number > range.m_greatest) {
    Report(ProblemKind::kOutOfRange, key, node.m_position,
           fmt::format("a whole number from {} to {} is expected",
                       range.m_least, range.m_greatest));
    return std::nullopt;
  }
  return number;
}

void MapReader::Report(ProblemKind kind,
                       std::string_view key,
                       Position position,
                       std::string message) {
  AddProblem(m_problems, {kind, PathOf(key), std::move(message), position});
}

void MapReader::ReportInvalidEnumName(std::string_view key,
                                      const YamlNode& node,
                                      const std::string& allowed) {
  Report(ProblemKind::kWrongType, key, node.m_position,
         fmt::format("{} is not one of {}", Quote(node.m_text), allowed));
}

}  // namespace configuration
