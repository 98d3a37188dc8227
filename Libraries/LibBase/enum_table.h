// Tables that give each value of an enum class its one name, shared by
// parsers, logs and metrics.

#ifndef LIBBASE_ENUM_TABLE_H_
#define LIBBASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace base {

template <typename Enum>
struct EnumName {
  Enum m_value;
  std::string_view m_name;
};

template <typename Enum, std::size_t kSize>
using EnumTable = std::array<EnumName<Enum>, kSize>;

// Returns the name of `value`, or "unknown" if the table lacks it.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(const EnumTable<Enum, kSize>& table,
                                  Enum value) {
  for (const auto& entry : table) {
    if (entry.m_value == value)
      return entry.m_name;
  }
  return "unknown";
}

// Returns the value that has `name`, or nothing.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> ValueOf(const EnumTable<Enum, kSize>& table,
                                      std::string_view name) {
  for (const auto& entry : table) {
    if (entry.m_name == name)
      return entry.m_value;
  }
  return std::nullopt;
}

}  // namespace base

#endif  // LIBBASE_ENUM_TABLE_H_
