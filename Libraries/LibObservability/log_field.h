// One named value of a log line.

#ifndef LIBOBSERVABILITY_LOG_FIELD_H_
#define LIBOBSERVABILITY_LOG_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace observability {

using LogValue =
    std::variant<bool, std::int64_t, std::uint64_t, double, std::string>;

struct LogField {
  LogField(std::string_view name, bool value) : m_name(name), m_value(value) {}
  LogField(std::string_view name, std::signed_integral auto value)
      : m_name(name), m_value(std::int64_t{value}) {}
  LogField(std::string_view name, std::unsigned_integral auto value)
      : m_name(name), m_value(std::uint64_t{value}) {}
  LogField(std::string_view name, double value)
      : m_name(name), m_value(value) {}
  LogField(std::string_view name, std::string value)
      : m_name(name), m_value(std::move(value)) {}
  LogField(std::string_view name, std::string_view value)
      : m_name(name), m_value(std::string(value)) {}
  LogField(std::string_view name, const char* value)
      : m_name(name), m_value(std::string(value)) {}

  std::string m_name;
  LogValue m_value;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_LOG_FIELD_H_
