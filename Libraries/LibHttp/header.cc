#include "LibHttp/header.h"

#include <algorithm>

namespace http {

namespace {

char ToLower(char character) {
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
}

bool EqualsIgnoringCase(std::string_view first, std::string_view second) {
  return std::equal(
      first.begin(), first.end(), second.begin(), second.end(),
      [](char left, char right) { return ToLower(left) == ToLower(right); });
}

}  // namespace

std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoringCase(header.m_name, name))
      return header.m_value;
  }
  return std::nullopt;
}

}  // namespace http
