#include "LibConsole/draft.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/document_writer.h"
#include "LibConfiguration/yaml_parser.h"

namespace console {

namespace {

using configuration::YamlNode;

constexpr std::string_view kServicesKey = "services";
constexpr std::size_t kMaxPathSteps = 6;
constexpr std::size_t kMaxIndex = 1'000'000;

struct KeyStep {
  std::string m_key;
};
struct IndexStep {
  std::size_t m_index;
};
using PathStep = std::variant<KeyStep, IndexStep>;

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

bool IsKeyCharacter(char character) {
  return (character >= 'a' && character <= 'z') || character == '_';
}

// Removes the first step of `path` and returns the step.
std::optional<PathStep> PopStep(std::string_view& path) {
  if (path.starts_with('[')) {
    const std::size_t end = path.find(']');
    if (end == std::string_view::npos)
      return std::nullopt;
    const auto index = ParseNumber<std::size_t>(path.substr(1, end - 1));
    if (!index || *index > kMaxIndex)
      return std::nullopt;
    path.remove_prefix(end + 1);
    return IndexStep{*index};
  }
  if (path.starts_with('.'))
    path.remove_prefix(1);
  const auto end = std::ranges::find_if_not(path, IsKeyCharacter);
  const auto length = static_cast<std::size_t>(end - path.begin());
  if (length == 0)
    return std::nullopt;
  KeyStep step{std::string(path.substr(0, length))};
  path.remove_prefix(length);
  return step;
}

std::optional<std::vector<PathStep>> ParsePath(std::string_view path) {
  std::vector<PathStep> steps;
  while (!path.empty()) {
    const auto step = PopStep(path);
    if (!step || steps.size() == kMaxPathSteps)
      return std::nullopt;
    steps.push_back(*step);
  }
  return steps;
}

// Builds a YAML node from form fields. The children are sorted, so that fields
// may arrive in any order and with gaps between the indices.
struct NodeBuilder {
  std::optional<std::string> m_value;
  std::map<std::string, NodeBuilder> m_fields;
  std::map<std::size_t, NodeBuilder> m_items;
};

NodeBuilder& FindOrCreateChild(NodeBuilder& builder, const PathStep& step) {
  if (const auto* key = std::get_if<KeyStep>(&step))
    return builder.m_fields[key->m_key];
  return builder.m_items[std::get<IndexStep>(step).m_index];
}

YamlNode BuildNode(const NodeBuilder& builder) {
  YamlNode node;
  if (!builder.m_items.empty()) {
    node.m_kind = YamlNode::Kind::kSequence;
    for (const auto& [index, item] : builder.m_items)
      node.m_items.push_back(BuildNode(item));
    return node;
  }
  if (builder.m_value) {
    node.m_kind = YamlNode::Kind::kScalar;
    node.m_text = *builder.m_value;
    return node;
  }
  node.m_kind = YamlNode::Kind::kMap;
  for (const auto& [key, value] : builder.m_fields) {
    node.m_keys.push_back({key, {}});
    node.m_items.push_back(BuildNode(value));
  }
  return node;
}

// Browsers end lines with CR LF (HTML Standard, 4.10.22.4).
std::string WithoutCarriageReturns(std::string text) {
  std::erase(text, '\r');
  return text;
}

void AppendFields(const YamlNode& node,
                  const std::string& path,
                  FormFields& fields) {
  switch (node.m_kind) {
    case YamlNode::Kind::kNull:
      return;
    case YamlNode::Kind::kScalar:
      fields.push_back({path, node.m_text});
      return;
    case YamlNode::Kind::kSequence:
      for (std::size_t index = 0; index < node.m_items.size(); ++index)
        AppendFields(node.m_items[index], fmt::format("{}[{}]", path, index),
                     fields);
      return;
    case YamlNode::Kind::kMap:
      for (std::size_t index = 0; index < node.m_items.size(); ++index)
        AppendFields(node.m_items[index],
                     fmt::format("{}.{}", path, node.m_keys[index].m_text),
                     fields);
      return;
  }
}

// Returns a map with one key.
YamlNode MakeMap(std::string_view key, YamlNode value) {
  YamlNode map;
  map.m_kind = YamlNode::Kind::kMap;
  map.m_keys.push_back({std::string(key), {}});
  map.m_items.push_back(std::move(value));
  return map;
}

}  // namespace

Draft StartDraft(const DocumentInForce& document) {
  Draft draft;
  draft.m_base_version = document.m_version;
  draft.m_base_document = configuration::WriteDocument(document.m_document);
  YamlNode services;
  services.m_kind = YamlNode::Kind::kSequence;
  const auto parsed = configuration::ParseYaml(draft.m_base_document);
  if (const auto* root = std::get_if<YamlNode>(&parsed)) {
    const YamlNode* found = configuration::FindValue(*root, kServicesKey);
    if (found != nullptr)
      services = *found;
  }
  draft.m_root = MakeMap(kServicesKey, std::move(services));
  return draft;
}

std::optional<Draft> DraftFromFields(const FormFields& fields) {
  Draft draft;
  const auto version =
      ParseNumber<std::uint64_t>(FieldValue(fields, kBaseVersionField));
  if (!version)
    return std::nullopt;
  draft.m_base_version = base::ConfigurationVersion(*version);
  draft.m_base_document =
      WithoutCarriageReturns(FieldValue(fields, kBaseDocumentField));
  NodeBuilder root;
  for (const FormField& field : fields) {
    if (!field.m_name.starts_with(kServicesKey))
      continue;
    const auto path = ParsePath(field.m_name);
    if (!path)
      return std::nullopt;
    NodeBuilder* builder = &root;
    for (std::size_t index = 0; index + 1 < path->size(); ++index)
      builder = &FindOrCreateChild(*builder, (*path)[index]);
    if (!field.m_value.empty())
      FindOrCreateChild(*builder, path->back()).m_value = field.m_value;
  }
  root.m_fields[std::string(kServicesKey)];
  draft.m_root = BuildNode(root);
  YamlNode& services = draft.m_root.m_items.front();
  if (services.m_items.empty())
    services.m_kind = YamlNode::Kind::kSequence;
  return draft;
}

FormFields FieldsOf(const Draft& draft) {
  FormFields fields{
      {std::string(kBaseVersionField),
       std::to_string(draft.m_base_version.value())},
      {std::string(kBaseDocumentField), draft.m_base_document},
  };
  const YamlNode* services =
      configuration::FindValue(draft.m_root, kServicesKey);
  if (services != nullptr)
    AppendFields(*services, std::string(kServicesKey), fields);
  return fields;
}

std::optional<configuration::Document> BaseDocumentOf(const Draft& draft) {
  auto read = configuration::ReadDocument(draft.m_base_document);
  if (auto* document = std::get_if<configuration::Document>(&read))
    return std::move(*document);
  return std::nullopt;
}

}  // namespace console
