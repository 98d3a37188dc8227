// Parses YAML (1.2) from outside into a tree, within bounds of size, depth and
// number of nodes. The only part that calls yaml-cpp's parser.

#ifndef LIBCONFIGURATION_YAML_PARSER_H_
#define LIBCONFIGURATION_YAML_PARSER_H_

#include <cstddef>
#include <string_view>

#include "LibConfiguration/yaml_node.h"

namespace configuration {

// The platform's object API holds values up to this size.
inline constexpr std::size_t kMaxTextBytes = 1'000'000;
inline constexpr std::size_t kMaxYamlDepth = 8;
inline constexpr std::size_t kMaxYamlNodes = 200'000;

// Returns the tree of the one document in `text`. Refuses a second document,
// anchors, aliases, tags, and keys that are not scalars.
ValueOrProblems<YamlNode> ParseYaml(std::string_view text);

}  // namespace configuration

#endif  // LIBCONFIGURATION_YAML_PARSER_H_
