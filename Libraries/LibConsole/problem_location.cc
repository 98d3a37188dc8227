#include "LibConsole/problem_location.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <system_error>

namespace console {

namespace {

using configuration::YamlNode;

// One step of a path: a key, and the index that follows the key, if any.
struct Step {
  std::string_view m_key;
  std::optional<std::size_t> m_index;
};

// Removes the first step of `path` and returns the step, or nullopt if the
// index is malformed.
std::optional<Step> PopStep(std::string_view& path) {
  const std::string_view step_text = path.substr(0, path.find('.'));
  path.remove_prefix(std::min(step_text.size() + 1, path.size()));
  const std::size_t bracket = step_text.find('[');
  if (bracket == std::string_view::npos)
    return Step{step_text, std::nullopt};
  std::size_t index = 0;
  const char* begin = step_text.data() + bracket + 1;
  const char* end = step_text.data() + step_text.size();
  const auto result = std::from_chars(begin, end, index);
  if (result.ec != std::errc() || result.ptr + 1 != end || *result.ptr != ']')
    return std::nullopt;
  return Step{step_text.substr(0, bracket), index};
}

std::string_view KindOf(std::string_view list_key) {
  if (list_key == "services")
    return "service";
  return list_key == "backend_servers" ? "backend server" : list_key;
}

// Returns the list item that `step` refers to below `parent`, or null.
const YamlNode* ItemAt(const YamlNode* parent, const Step& step) {
  const YamlNode* list = parent == nullptr
                             ? nullptr
                             : configuration::FindValue(*parent, step.m_key);
  if (list == nullptr || *step.m_index >= list->m_items.size())
    return nullptr;
  return &list->m_items[*step.m_index];
}

std::string DescribeItem(const YamlNode* item, const Step& step) {
  const YamlNode* name =
      item == nullptr ? nullptr : configuration::FindValue(*item, "name");
  if (name != nullptr && !name->m_text.empty())
    return fmt::format("{} {}", KindOf(step.m_key), name->m_text);
  return fmt::format("{} number {}", KindOf(step.m_key), *step.m_index + 1);
}

}  // namespace

std::string DescribeProblemLocation(const YamlNode& root,
                                    std::string_view path) {
  std::string location;
  const YamlNode* node = &root;
  std::string_view rest = path;
  while (!rest.empty()) {
    const auto step = PopStep(rest);
    if (!step)
      return std::string(path);
    if (!location.empty())
      location += ", ";
    if (!step->m_index) {
      location += step->m_key;
      continue;
    }
    node = ItemAt(node, *step);
    location += DescribeItem(node, *step);
  }
  return location;
}

}  // namespace console
