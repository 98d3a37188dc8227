// Decodes the fields of a submitted form
// (application/x-www-form-urlencoded, URL Standard section 5).

#ifndef LIBCONSOLE_FORM_H_
#define LIBCONSOLE_FORM_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace console {

struct FormField {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const FormField&, const FormField&) = default;
};

using FormFields = std::vector<FormField>;

inline constexpr std::size_t kMaxFormFields = 100'000;

// Returns the fields in order, or nullopt if an escape is malformed or there
// are more than kMaxFormFields fields. Also decodes the query of a URL.
std::optional<FormFields> ParseForm(std::string_view body);

// Returns the value of the first field with the name `name`, or an empty text.
std::string FieldValue(const FormFields& fields, std::string_view name);

}  // namespace console

#endif  // LIBCONSOLE_FORM_H_
