// Builds resets: the answer to a segment for which there is no connection, and
// the abort of a connection between two others.

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

// The reset of RFC 9293 section 3.10.7.1, from the packet's destination to its
// source. In answer to an opening it carries ACK and sequence number 0, which
// tells the caller that the connection was refused.
ResetPacket BuildReset(const PacketView& packet);

struct Abort {
  base::Endpoint m_source;
  base::Endpoint m_destination;
  // The next sequence number that the destination expects: it ignores a reset
  // outside its window and challenges one that is not exact (RFC 5961
  // section 3.2).
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
};

// The reset with ACK by which one end aborts a connection (RFC 9293 section
// 3.10.5), in the name of the source.
ResetPacket BuildAbort(const Abort& abort);

}  // namespace wire

#endif  // LIBWIRE_RESET_BUILDER_H_
