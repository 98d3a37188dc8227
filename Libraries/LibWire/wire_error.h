// Reasons for rejecting a datagram.

#ifndef LIBWIRE_WIRE_ERROR_H_
#define LIBWIRE_WIRE_ERROR_H_

#include <system_error>

#include "LibBase/enum_table.h"

namespace wire {

enum class WireError {
  // Fewer bytes than the headers require or announce.
  kTruncated = 1,
  // More than kMaximumPacketBytes.
  kOversized,
  kNotIpv4,
  // The IPv4 or TCP header is announced as shorter than its fixed part.
  kBadHeaderLength,
  // The checksum of the IPv4 header is wrong.
  kBadChecksum,
  // The packet is a fragment of an IPv4 packet.
  kFragment,
  kNotTcp,
  // A relay header does not begin with kRelayMagic.
  kForeignRelay,
  // A relay header has another version than kRelayVersion.
  kOtherRelayVersion,
};

inline constexpr base::EnumTable<WireError, 9> kWireErrorNames = {{
    {WireError::kTruncated, "truncated"},
    {WireError::kOversized, "oversized"},
    {WireError::kNotIpv4, "not_ipv4"},
    {WireError::kBadHeaderLength, "bad_header_length"},
    {WireError::kBadChecksum, "bad_checksum"},
    {WireError::kFragment, "fragment"},
    {WireError::kNotTcp, "not_tcp"},
    {WireError::kForeignRelay, "foreign_relay"},
    {WireError::kOtherRelayVersion, "other_relay_version"},
}};

std::error_code make_error_code(WireError error);

}  // namespace wire

template <>
struct std::is_error_code_enum<wire::WireError> : std::true_type {};

#endif  // LIBWIRE_WIRE_ERROR_H_
