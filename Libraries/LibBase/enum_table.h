// Tables that map each value of an enum class to one name. Parsers, logs and
// metrics share them.

#ifndef LIBBASE_ENUM_TABLE_H_
#define LIBBASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace base {

// An entry of a table: one value and its name.
template <typename Enum>
struct EnumName {
  Enum m_value;
  std::string_view m_name;
};

template <typename Enum, std::size_t kSize>
using EnumTable = std::array<EnumName<Enum>, kSize>;

// Returns the name of `value`, or "unknown" if the table has no entry for it.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(const EnumTable<Enum, kSize>& table,
                                  Enum value) {
  for (const auto& entry : table) {
    if (entry.m_value == value)
      return entry.m_name;
  }
  return "unknown";
}

// Returns the value that `name` stands for, or nullopt if no entry has `name`.
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
