// A YAML text as a tree that keeps positions, duplicate keys and quoting.
// yaml-cpp's own tree loses them.

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
  // The text of a scalar, and whether it is quoted.
  std::string m_text;
  bool m_quoted = false;
  // The keys of a map in the order of the text, including duplicates.
  std::vector<YamlKey> m_keys;
  // The items of a sequence, or the values of a map in the order of m_keys.
  std::vector<YamlNode> m_items;
};

// Returns the value of the first `key` in `map`, or null if there is none.
const YamlNode* FindValue(const YamlNode& map, std::string_view key);

// Returns the position of the node at `path`, or of its closest ancestor that
// exists in the tree. `path` has the syntax of Problem::m_path.
Position FindPosition(const YamlNode& root, std::string_view path);

}  // namespace configuration

#endif  // LIBCONFIGURATION_YAML_NODE_H_
