// Reads the typed fields of one YAML map and reports every error in it.

#ifndef LIBCONFIGURATION_MAP_READER_H_
#define LIBCONFIGURATION_MAP_READER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"
#include "LibConfiguration/yaml_node.h"

namespace configuration {

// The allowed values from m_least to m_greatest, both included.
struct IntegerRange {
  std::uint64_t m_least;
  std::uint64_t m_greatest;
};

// The allowed values from m_least to m_greatest, both included.
struct NumberRange {
  double m_least;
  double m_greatest;
};

// The maximum length of the name of a service, server, data centre or
// submission.
inline constexpr std::size_t kMaxNameBytes = 63;

class MapReader {
 public:
  // Adds a problem if `node` is not a map, and then reads `node` as an empty
  // map. `node` and `problems` must outlive the reader. `path` is the path of
  // the map in the document.
  MapReader(const YamlNode& node, std::string path, Problems& problems);

  // Each function named Required..., Optional... or ...Or returns the value of
  // the field `key`. If the field is malformed, or is required and missing, the
  // function adds a problem and returns a value that the caller must not use.
  // If the field is missing, the functions named ...Or return `fallback`.

  // A name consists of 1 to kMaxNameBytes letters, digits, '-', '_' and '.'.
  std::string RequiredName(std::string_view key);
  // Returns an empty name if the field is missing.
  std::string OptionalName(std::string_view key);
  // A secret consists of printable ASCII characters without spaces. `length` is
  // the allowed number of characters.
  std::string RequiredSecret(std::string_view key, IntegerRange length);
  base::Endpoint RequiredEndpoint(std::string_view key, IntegerRange port);
  std::uint64_t RequiredInteger(std::string_view key, IntegerRange range);
  std::uint64_t IntegerOr(std::string_view key,
                          std::uint64_t fallback,
                          IntegerRange range);
  // Returns nothing if the field is missing or malformed.
  std::optional<std::uint64_t> OptionalInteger(std::string_view key,
                                               IntegerRange range);
  // `range` counts units of DurationType.
  template <typename DurationType>
  DurationType DurationOr(std::string_view key,
                          DurationType fallback,
                          IntegerRange range) {
    const auto count = static_cast<std::uint64_t>(fallback.count());
    return DurationType(IntegerOr(key, count, range));
  }
  double NumberOr(std::string_view key, double fallback, NumberRange range);
  bool BooleanOr(std::string_view key, bool fallback);
  template <typename Enum, std::size_t kSize>
  Enum EnumOr(std::string_view key,
              Enum fallback,
              const base::EnumTable<Enum, kSize>& table);
  // Returns a null pointer if the field is missing.
  const YamlNode* OptionalNode(std::string_view key);
  // Returns the items of a sequence, or no items if the field is missing. A
  // sequence of more than `max_items` items is an error.
  const std::vector<YamlNode>& OptionalItems(std::string_view key,
                                             std::size_t max_items);

  // Adds a problem for each key of the map that was not passed to a function
  // above, and for each duplicate key.
  void ReportUnexpectedKeys();

  // Returns the path of the field `key` in the document.
  std::string PathOf(std::string_view key) const;

 private:
  const YamlNode* RequiredNode(std::string_view key);
  const YamlNode* RequiredScalar(std::string_view key);
  const YamlNode* OptionalScalar(std::string_view key);
  // Returns `node` if it is a scalar or a null pointer. Otherwise adds a
  // problem and returns a null pointer.
  const YamlNode* CheckScalar(std::string_view key, const YamlNode* node);
  std::string ReadName(std::string_view key, const YamlNode* node);
  // Returns nothing and adds a problem if `node` is malformed.
  std::optional<std::uint64_t> ParseInteger(std::string_view key,
                                            const YamlNode& node,
                                            IntegerRange range);
  void Report(ProblemKind kind,
              std::string_view key,
              Position position,
              std::string message);
  void ReportInvalidEnumName(std::string_view key,
                             const YamlNode& node,
                             const std::string& allowed);

  const YamlNode& m_node;
  std::string m_path;
  Problems& m_problems;
  std::set<std::string, std::less<>> m_known_keys;
};

template <typename Enum, std::size_t kSize>
Enum MapReader::EnumOr(std::string_view key,
                       Enum fallback,
                       const base::EnumTable<Enum, kSize>& table) {
  const YamlNode* node = OptionalScalar(key);
  if (node == nullptr)
    return fallback;
  if (const auto value = base::ValueOf(table, node->m_text))
    return *value;
  std::string allowed;
  for (const auto& entry : table) {
    allowed += allowed.empty() ? "" : ", ";
    allowed += entry.m_name;
  }
  ReportInvalidEnumName(key, *node, allowed);
  return fallback;
}

}  // namespace configuration

#endif  // LIBCONFIGURATION_MAP_READER_H_
