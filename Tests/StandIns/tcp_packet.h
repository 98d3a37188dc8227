// An IPv4 packet that carries one TCP segment (RFC 791, RFC 9293).

#ifndef STANDINS_TCP_PACKET_H_
#define STANDINS_TCP_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "LibBase/ipv4.h"
#include "StandIns/tcp_segment.h"

namespace stand_ins {

// The maximum payload of one segment.
inline constexpr std::size_t kMaximumSegmentBytes = 1400;

// The maximum size of the packet in one datagram.
inline constexpr std::size_t kMaximumPacketBytes = 1500;

struct TcpPacket {
  base::Endpoint m_source;
  base::Endpoint m_destination;
  TcpSegment m_segment;
};

// Serialises the packet without options and with both checksums.
std::string BuildPacket(const TcpPacket& packet);

// Parses a packet and skips its options. Returns nullopt if the packet is
// malformed, longer than kMaximumPacketBytes, a fragment or not TCP, or if a
// checksum is wrong.
std::optional<TcpPacket> ParsePacket(std::span<const std::uint8_t> bytes);

// Returns the destination address of an IPv4 packet. Checks only the length and
// the IP version.
std::optional<base::Ipv4Address> DestinationOf(
    std::span<const std::uint8_t> bytes);

// Returns the reset that responds to a segment without a connection (RFC 9293,
// section 3.10.7.1); nullopt if the segment is a reset.
std::optional<TcpSegment> ResetForNoConnection(const TcpSegment& segment);

// Returns the reset that refuses an opening: RST and ACK with sequence number
// 0.
TcpSegment RefusalOfOpening(const TcpSegment& syn);

}  // namespace stand_ins

#endif  // STANDINS_TCP_PACKET_H_
