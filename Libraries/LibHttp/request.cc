#include "LibHttp/request.h"

#include <algorithm>

#include "LibHttp/error.h"

namespace http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsVisible(char character) {
  return character > ' ' && character < '\x7f';
}

bool IsFieldValueCharacter(char character) {
  return character == ' ' || character == '\t' || IsVisible(character);
}

bool IsValidPath(std::string_view path) {
  return path.starts_with('/') &&
         std::all_of(path.begin(), path.end(), IsVisible);
}

bool IsValidHeader(const Header& header) {
  const auto is_name_character = [](char character) {
    return IsVisible(character) && character != ':';
  };
  return !header.m_name.empty() &&
         std::all_of(header.m_name.begin(), header.m_name.end(),
                     is_name_character) &&
         std::all_of(header.m_value.begin(), header.m_value.end(),
                     IsFieldValueCharacter);
}

void AppendHeader(std::string& text,
                  std::string_view name,
                  std::string_view value) {
  text.append(name).append(": ").append(value).append(kLineEnd);
}

// Returns whether PercentEncode leaves `character` as it is.
bool IsUnreserved(char character) {
  constexpr std::string_view kUnreservedMarks = "-._~/";
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         kUnreservedMarks.find(character) != std::string_view::npos;
}

}  // namespace

base::Outcome<std::string> SerializeRequest(const Request& request) {
  const bool is_valid = IsValidPath(request.m_path) &&
                        std::all_of(request.m_headers.begin(),
                                    request.m_headers.end(), IsValidHeader);
  if (!is_valid)
    return Error::kInvalidRequest;
  std::string text(base::NameOf(kMethodNames, request.m_method));
  text.append(" ").append(request.m_path).append(" HTTP/1.1\r\n");
  AppendHeader(text, "Host", base::ToString(request.m_endpoint));
  AppendHeader(text, "Connection", "close");
  for (const Header& header : request.m_headers)
    AppendHeader(text, header.m_name, header.m_value);
  if (request.m_method != Method::kGet)
    AppendHeader(text, "Content-Length", std::to_string(request.m_body.size()));
  text.append(kLineEnd);
  if (text.size() > kMaximumRequestHeadBytes)
    return Error::kInvalidRequest;
  return text + request.m_body;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    if (IsUnreserved(character)) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 0xf];
  }
  return encoded;
}

}  // namespace http
