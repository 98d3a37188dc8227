// A YAML text as a tree that keeps positions, duplicate keys and quoting,
// which the library's own tree loses.

#ifndef LIBCONFIGURATION_YAML_NODE_H_
#define LIBCONFIGURATION_YAML_NODE_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibConfiguration/problem.h"

namespace configuration {

struct YamlKey {
  std::string m_text;
  Position m_position;
};

struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };

  Kind m_kind = Kind::kNull;
  Position m_position;
  // Of a scalar.
  std::string m_text;
  bool m_quoted = false;
  // Of a map: the keys in the order of the text, duplicates included.
  std::vector<YamlKey> m_keys;
  // The items of a sequence, or the values that belong to m_keys.
  std::vector<YamlNode> m_items;
};

// Returns the first value under `key` of a map, or null.
const YamlNode* FindValue(const YamlNode& map, std::string_view key);

// Returns where `path` is, or where its closest ancestor in the tree is.
Position FindPosition(const YamlNode& root, std::string_view path);

}  // namespace configuration

#endif  // LIBCONFIGURATION_YAML_NODE_H_
