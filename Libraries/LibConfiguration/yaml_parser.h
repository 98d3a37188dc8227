// Parses untrusted YAML 1.2 into a tree. The size, the depth and the number of
// nodes are bounded. Only ParseYaml calls yaml-cpp's parser.

#ifndef LIBCONFIGURATION_YAML_PARSER_H_
#define LIBCONFIGURATION_YAML_PARSER_H_

#include <cstddef>
#include <string_view>

#include "LibConfiguration/yaml_node.h"

namespace configuration {

// The maximum size of a value in the platform's object API.
inline constexpr std::size_t kMaxTextBytes = 1'000'000;
// The maximum number of maps and sequences nested in each other.
inline constexpr std::size_t kMaxYamlDepth = 8;
// The maximum number of nodes: keys, scalars, nulls, maps and sequences.
inline constexpr std::size_t kMaxYamlNodes = 200'000;

// Returns the tree of the YAML document in `text`, or the problems found. A
// second document, anchors, aliases, tags, and keys that are not scalars are
// errors.
ValueOrProblems<YamlNode> ParseYaml(std::string_view text);

}  // namespace configuration

#endif  // LIBCONFIGURATION_YAML_PARSER_H_
