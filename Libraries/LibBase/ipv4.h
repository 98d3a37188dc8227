// IPv4 addresses and UDP or TCP endpoints as value types.

#ifndef LIBBASE_IPV4_H_
#define LIBBASE_IPV4_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/strong_id.h"

namespace base {

// An IPv4 address in host byte order.
using Ipv4Address = StrongId<struct Ipv4AddressTag, std::uint32_t>;

// An address and a port, both in host byte order.
struct Endpoint {
  Ipv4Address m_address;
  std::uint16_t m_port = 0;

  friend constexpr auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses four decimal numbers separated by dots. Returns nullopt for any other
// text.
std::optional<Ipv4Address> ParseIpv4Address(std::string_view text);

// Parses "ADDRESS:PORT"; port 0 is accepted. Returns nullopt for any other
// text.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

std::string ToString(Ipv4Address address);
std::string ToString(Endpoint endpoint);

}  // namespace base

template <>
struct std::hash<base::Endpoint> {
  std::size_t operator()(const base::Endpoint& endpoint) const noexcept {
    return std::hash<std::uint64_t>{}(
        (std::uint64_t{endpoint.m_address.value()} << 16) | endpoint.m_port);
  }
};

#endif  // LIBBASE_IPV4_H_
