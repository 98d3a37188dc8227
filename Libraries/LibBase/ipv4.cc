#include "LibBase/ipv4.h"

#include <charconv>

namespace base {

namespace {

// Parses the whole of `text` as a decimal number of at most `maximum`.
std::optional<std::uint32_t> ParseNumber(std::string_view text,
                                         std::uint32_t maximum) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || rest != end || value > maximum)
    return std::nullopt;
  return value;
}

}  // namespace

std::optional<Ipv4Address> ParseIpv4Address(std::string_view text) {
  constexpr int kOctets = 4;
  std::uint32_t value = 0;
  for (int octet = 0; octet < kOctets; ++octet) {
    const bool is_last = octet == kOctets - 1;
    const std::size_t dot = is_last ? text.size() : text.find('.');
    if (dot == std::string_view::npos)
      return std::nullopt;
    const auto number = ParseNumber(text.substr(0, dot), 255);
    if (!number)
      return std::nullopt;
    value = (value << 8) | *number;
    text.remove_prefix(is_last ? dot : dot + 1);
  }
  return Ipv4Address(value);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const auto address = ParseIpv4Address(text.substr(0, colon));
  const auto port = ParseNumber(text.substr(colon + 1), 65535);
  if (!address || !port)
    return std::nullopt;
  return Endpoint{*address, static_cast<std::uint16_t>(*port)};
}

std::string ToString(Ipv4Address address) {
  const std::uint32_t value = address.value();
  return std::to_string(value >> 24) + "." +
         std::to_string((value >> 16) & 0xff) + "." +
         std::to_string((value >> 8) & 0xff) + "." +
         std::to_string(value & 0xff);
}

std::string ToString(Endpoint endpoint) {
  return ToString(endpoint.m_address) + ":" + std::to_string(endpoint.m_port);
}

}  // namespace base
