// Builds TCP resets: the answer to a segment that belongs to no connection, and
// the abort of a connection between two other hosts.

#ifndef LIBWIRE_RESET_BUILDER_H_
#define LIBWIRE_RESET_BUILDER_H_

#include <array>
#include <cstdint>

#include "LibBase/ipv4.h"

namespace wire {

class PacketView;

// An IPv4 header and a TCP header without options.
inline constexpr std::size_t kResetBytes = 40;
using ResetPacket = std::array<std::uint8_t, kResetBytes>;

// Builds the reset of RFC 9293 section 3.10.7.1, from the packet's destination
// to its source. A reset that answers an opening carries ACK and sequence
// number 0, which refuses the connection.
ResetPacket BuildReset(const PacketView& packet);

// The endpoints and numbers of a reset that aborts a connection.
struct Abort {
  base::Endpoint m_source;
  base::Endpoint m_destination;
  // The next sequence number that the destination expects. The destination
  // ignores a reset outside its window and answers one with another number in
  // its window with a challenge ACK (RFC 5961 section 3.2).
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
};

// Builds the reset with ACK by which one end aborts a connection (RFC 9293
// section 3.10.5), on behalf of the source.
ResetPacket BuildAbort(const Abort& abort);

}  // namespace wire

#endif  // LIBWIRE_RESET_BUILDER_H_
