// Builds the reset that answers a segment for which there is no connection.

#ifndef LIBWIRE_RESET_BUILDER_H_
#define LIBWIRE_RESET_BUILDER_H_

#include <array>
#include <cstdint>

namespace wire {

class PacketView;

// An IPv4 header and a TCP header without options.
inline constexpr std::size_t kResetBytes = 40;
using ResetPacket = std::array<std::uint8_t, kResetBytes>;

// The reset of RFC 9293 section 3.10.7.1, from the packet's destination to its
// source. In answer to an opening it carries ACK and sequence number 0, which
// tells the caller that the connection was refused.
ResetPacket BuildReset(const PacketView& packet);

}  // namespace wire

#endif  // LIBWIRE_RESET_BUILDER_H_
