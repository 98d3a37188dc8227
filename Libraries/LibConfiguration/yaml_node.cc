#include "LibConfiguration/yaml_node.h"

#include <charconv>
#include <optional>

namespace configuration {

namespace {

// Removes the first step, such as "name" or "[3]", from `path` and returns it.
std::string_view RemoveFirstStep(std::string_view& path) {
  if (path.starts_with('.'))
    path.remove_prefix(1);
  std::size_t length = path.find_first_of(".[", 1);
  if (length == std::string_view::npos)
    length = path.size();
  const std::string_view step = path.substr(0, length);
  path.remove_prefix(length);
  return step;
}

const YamlNode* FindItem(const YamlNode& sequence, std::string_view step) {
  std::size_t index = 0;
  step.remove_prefix(1);
  const auto result =
      std::from_chars(step.data(), step.data() + step.size(), index);
  if (result.ec != std::errc() || index >= sequence.m_items.size())
    return nullptr;
  return &sequence.m_items[index];
}

}  // namespace

const YamlNode* FindValue(const YamlNode& map, std::string_view key) {
  for (std::size_t index = 0; index < map.m_keys.size(); ++index) {
    if (map.m_keys[index].m_text == key)
      return &map.m_items[index];
  }
  return nullptr;
}

Position FindPosition(const YamlNode& root, std::string_view path) {
  const YamlNode* node = &root;
  while (!path.empty()) {
    const std::string_view step = RemoveFirstStep(path);
    const YamlNode* next =
        step.starts_with('[') ? FindItem(*node, step) : FindValue(*node, step);
    if (next == nullptr)
      break;
    node = next;
  }
  return node->m_position;
}

}  // namespace configuration
