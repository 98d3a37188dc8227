// Reasons for rejecting a datagram.

#ifndef LIBWIRE_WIRE_ERROR_H_
#define LIBWIRE_WIRE_ERROR_H_

#include <system_error>

#include "LibBase/enum_table.h"

namespace wire {

enum class WireError {
  kTruncated = 1,
  kOversized,
  kNotIpv4,
  kBadHeaderLength,
  kBadChecksum,
  kFragment,
  kNotTcp,
  kForeignRelay,
  kOtherRelayVersion,
  kMalformedRelay,
};

inline constexpr base::EnumTable<WireError, 10> kWireErrorNames = {{
    {WireError::kTruncated, "truncated"},
    {WireError::kOversized, "oversized"},
    {WireError::kNotIpv4, "not_ipv4"},
    {WireError::kBadHeaderLength, "bad_header_length"},
    {WireError::kBadChecksum, "bad_checksum"},
    {WireError::kFragment, "fragment"},
    {WireError::kNotTcp, "not_tcp"},
    {WireError::kForeignRelay, "foreign_relay"},
    {WireError::kOtherRelayVersion, "other_relay_version"},
    {WireError::kMalformedRelay, "malformed_relay"},
}};

std::error_code make_error_code(WireError error);

}  // namespace wire

template <>
struct std::is_error_code_enum<wire::WireError> : std::true_type {};

#endif  // LIBWIRE_WIRE_ERROR_H_
