#include "LibConfiguration/yaml_tree_builder.h"

#include <fmt/format.h>

#include <utility>

#include "LibConfiguration/yaml_parser.h"

namespace configuration {

namespace {

// The tags that yaml-cpp reports for nodes without a tag in the text.
constexpr std::string_view kQuotedTag = "!";
constexpr std::string_view kPlainTag = "?";

Position PositionOf(const YAML::Mark& mark) {
  return {mark.line + 1, mark.column + 1};
}

}  // namespace

void YamlTreeBuilder::OnDocumentStart(const YAML::Mark& mark) {
  ++m_document_count;
  if (m_document_count == 2)
    Report(ProblemKind::kSyntax, mark, "only one document is allowed");
}

void YamlTreeBuilder::OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) {
  CheckMarkup(mark, "", anchor);
  if (!CountNode(mark))
    return;
  YamlNode node;
  node.m_position = PositionOf(mark);
  Insert(std::move(node));
}

void YamlTreeBuilder::OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) {
  OnNull(mark, anchor);
}

void YamlTreeBuilder::OnScalar(const YAML::Mark& mark,
                               const std::string& tag,
                               YAML::anchor_t anchor,
                               const std::string& value) {
  CheckMarkup(mark, tag, anchor);
  if (!CountNode(mark))
    return;
  YamlNode node;
  node.m_kind = YamlNode::Kind::kScalar;
  node.m_position = PositionOf(mark);
  node.m_text = value;
  node.m_quoted = tag == kQuotedTag;
  Insert(std::move(node));
}

void YamlTreeBuilder::OnSequenceStart(const YAML::Mark& mark,
                                      const std::string& tag,
                                      YAML::anchor_t anchor,
                                      YAML::EmitterStyle::value /*style*/) {
  CheckMarkup(mark, tag, anchor);
  OpenContainer(mark, YamlNode::Kind::kSequence);
}

void YamlTreeBuilder::OnMapStart(const YAML::Mark& mark,
                                 const std::string& tag,
                                 YAML::anchor_t anchor,
                                 YAML::EmitterStyle::value /*style*/) {
  CheckMarkup(mark, tag, anchor);
  OpenContainer(mark, YamlNode::Kind::kMap);
}

bool YamlTreeBuilder::ExpectsKey() const {
  if (m_open_containers.empty() ||
      m_open_containers.back().m_kind != YamlNode::Kind::kMap)
    return false;
  return m_open_containers.back().m_keys.size() ==
         m_open_containers.back().m_items.size();
}

void YamlTreeBuilder::Report(ProblemKind kind,
                             const YAML::Mark& mark,
                             std::string message) {
  AddProblem(m_problems, {kind, "", std::move(message), PositionOf(mark)});
}

bool YamlTreeBuilder::CountNode(const YAML::Mark& mark) {
  if (m_skipped_depth > 0 || m_document_count > 1)
    return false;
  ++m_node_count;
  if (m_node_count == kMaxYamlNodes + 1)
    Report(ProblemKind::kTooLarge, mark,
           fmt::format("there are more than {} nodes", kMaxYamlNodes));
  return m_node_count <= kMaxYamlNodes;
}

void YamlTreeBuilder::CheckMarkup(const YAML::Mark& mark,
                                  const std::string& tag,
                                  YAML::anchor_t anchor) {
  if (anchor != YAML::NullAnchor)
    Report(ProblemKind::kSyntax, mark, "anchors and aliases are not allowed");
  if (!tag.empty() && tag != kQuotedTag && tag != kPlainTag)
    Report(ProblemKind::kSyntax, mark, "tags are not allowed");
}

void YamlTreeBuilder::OpenContainer(const YAML::Mark& mark,
                                    YamlNode::Kind kind) {
  const bool too_deep = m_open_containers.size() >= kMaxYamlDepth;
  if (too_deep && m_skipped_depth == 0)
    Report(ProblemKind::kTooDeep, mark,
           fmt::format("nesting is deeper than {} levels", kMaxYamlDepth));
  if (too_deep || !CountNode(mark)) {
    ++m_skipped_depth;
    return;
  }
  if (ExpectsKey())
    Report(ProblemKind::kWrongType, mark, "a key must be text");
  YamlNode node;
  node.m_kind = kind;
  node.m_position = PositionOf(mark);
  m_open_containers.push_back(std::move(node));
}

void YamlTreeBuilder::CloseContainer() {
  if (m_skipped_depth > 0) {
    --m_skipped_depth;
    return;
  }
  YamlNode node = std::move(m_open_containers.back());
  m_open_containers.pop_back();
  // The value of the last key may have been skipped as beyond the bounds.
  if (node.m_kind == YamlNode::Kind::kMap)
    node.m_items.resize(node.m_keys.size());
  Insert(std::move(node));
}

void YamlTreeBuilder::Insert(YamlNode node) {
  if (m_open_containers.empty()) {
    m_root = std::move(node);
    return;
  }
  if (ExpectsKey()) {
    m_open_containers.back().m_keys.push_back({node.m_text, node.m_position});
    return;
  }
  m_open_containers.back().m_items.push_back(std::move(node));
}

}  // namespace configuration
