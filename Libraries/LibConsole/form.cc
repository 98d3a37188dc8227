#include "LibConsole/form.h"

#include <algorithm>
#include <charconv>

namespace console {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeDigits = 2;

std::optional<char> DecodeEscape(std::string_view digits) {
  if (digits.size() != kEscapeDigits)
    return std::nullopt;
  unsigned int value = 0;
  const char* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, value, kHexadecimal);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return static_cast<char>(value);
}

std::optional<std::string> Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '+') {
      decoded += ' ';
      continue;
    }
    if (text[index] != '%') {
      decoded += text[index];
      continue;
    }
    const auto character = DecodeEscape(text.substr(index + 1, kEscapeDigits));
    if (!character)
      return std::nullopt;
    decoded += *character;
    index += kEscapeDigits;
  }
  return decoded;
}

std::optional<FormField> DecodeField(std::string_view pair) {
  const std::size_t equals = pair.find('=');
  const auto name = Decode(pair.substr(0, equals));
  const auto value = equals == std::string_view::npos
                         ? std::string()
                         : Decode(pair.substr(equals + 1));
  if (!name || !value)
    return std::nullopt;
  return FormField{*name, *value};
}

}  // namespace

std::optional<FormFields> ParseForm(std::string_view body) {
  FormFields fields;
  while (!body.empty()) {
    const std::size_t length = std::min(body.find('&'), body.size());
    const std::string_view pair = body.substr(0, length);
    body.remove_prefix(std::min(length + 1, body.size()));
    if (pair.empty())
      continue;
    auto field = DecodeField(pair);
    if (!field || fields.size() == kMaxFormFields)
      return std::nullopt;
    fields.push_back(std::move(*field));
  }
  return fields;
}

std::string FieldValue(const FormFields& fields, std::string_view name) {
  const auto found = std::ranges::find(fields, name, &FormField::m_name);
  return found == fields.end() ? std::string() : found->m_value;
}

}  // namespace console
