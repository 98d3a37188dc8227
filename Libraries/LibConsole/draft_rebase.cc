#include "LibConsole/draft_rebase.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibConfiguration/yaml_node.h"

namespace console {

namespace {

using configuration::YamlNode;

constexpr std::string_view kNameKey = "name";

// Compares kinds, texts, keys and items; ignores positions and quoting.
bool IsSame(const YamlNode& left, const YamlNode& right) {
  return left.m_kind == right.m_kind && left.m_text == right.m_text &&
         std::ranges::equal(left.m_keys, right.m_keys, {},
                            &configuration::YamlKey::m_text,
                            &configuration::YamlKey::m_text) &&
         std::ranges::equal(left.m_items, right.m_items, IsSame);
}

// Compares two nodes, each of which may be absent (null).
bool IsSame(const YamlNode* left, const YamlNode* right) {
  if (left == nullptr || right == nullptr)
    return left == right;
  return IsSame(*left, *right);
}

std::optional<YamlNode> CopyOf(const YamlNode* node) {
  return node == nullptr ? std::nullopt : std::optional(*node);
}

struct NamedNode {
  std::string m_name;
  const YamlNode* m_node = nullptr;
};
using NamedNodes = std::vector<NamedNode>;

// Returns the values of a map with their keys, or the items of a list with
// their names.
NamedNodes ChildrenOf(const YamlNode& node) {
  NamedNodes children;
  for (std::size_t index = 0; index < node.m_items.size(); ++index) {
    const YamlNode& child = node.m_items[index];
    if (node.m_kind == YamlNode::Kind::kMap) {
      children.push_back({node.m_keys[index].m_text, &child});
      continue;
    }
    const YamlNode* name = configuration::FindValue(child, kNameKey);
    children.push_back({name == nullptr ? "" : name->m_text, &child});
  }
  return children;
}

bool AreNamesUnique(const NamedNodes& children) {
  std::vector<std::string> names;
  for (const NamedNode& child : children)
    names.push_back(child.m_name);
  std::ranges::sort(names);
  const bool has_unnamed = !names.empty() && names.front().empty();
  return !has_unnamed && std::ranges::adjacent_find(names) == names.end();
}

const YamlNode* FindByName(const NamedNodes& children,
                           const std::string& name) {
  const auto found = std::ranges::find(children, name, &NamedNode::m_name);
  return found == children.end() ? nullptr : found->m_node;
}

std::optional<YamlNode> Merge(const YamlNode* base,
                              const YamlNode* mine,
                              const YamlNode* theirs);

// Merges two maps or two lists. Children of `theirs` come first, in their
// order.
YamlNode MergeChildren(const YamlNode* base,
                       const YamlNode& mine,
                       const YamlNode& theirs) {
  const NamedNodes base_children =
      base == nullptr ? NamedNodes() : ChildrenOf(*base);
  const NamedNodes my_children = ChildrenOf(mine);
  const NamedNodes their_children = ChildrenOf(theirs);
  if (!AreNamesUnique(my_children) || !AreNamesUnique(their_children))
    return mine;
  NamedNodes all = their_children;
  for (const NamedNode& child : my_children) {
    if (FindByName(their_children, child.m_name) == nullptr)
      all.push_back(child);
  }
  YamlNode merged;
  merged.m_kind = mine.m_kind;
  for (const NamedNode& child : all) {
    auto value = Merge(FindByName(base_children, child.m_name),
                       FindByName(my_children, child.m_name),
                       FindByName(their_children, child.m_name));
    if (!value)
      continue;
    if (merged.m_kind == YamlNode::Kind::kMap)
      merged.m_keys.push_back({child.m_name, {}});
    merged.m_items.push_back(std::move(*value));
  }
  return merged;
}

// Merges three versions of one node. Each may be absent (null), as may the
// result.
std::optional<YamlNode> Merge(const YamlNode* base,
                              const YamlNode* mine,
                              const YamlNode* theirs) {
  if (IsSame(base, mine))
    return CopyOf(theirs);
  const bool keeps_mine =
      theirs == nullptr || mine == nullptr || IsSame(base, theirs) ||
      mine->m_kind != theirs->m_kind || mine->m_kind == YamlNode::Kind::kScalar;
  if (keeps_mine)
    return CopyOf(mine);
  return MergeChildren(base, *mine, *theirs);
}

}  // namespace

Draft RebaseDraft(const Draft& draft, const DocumentInForce& current) {
  Draft rebased = StartDraft(current);
  const auto base = BaseDocumentOf(draft);
  if (!base) {
    rebased.m_root = draft.m_root;
    return rebased;
  }
  const Draft base_draft = StartDraft({draft.m_base_version, *base});
  rebased.m_root =
      MergeChildren(&base_draft.m_root, draft.m_root, rebased.m_root);
  return rebased;
}

}  // namespace console
