// A checked, read-only view of an IPv4 packet that carries TCP (RFC 791,
// RFC 9293). The view does not own the buffer, which must outlive the view.

#ifndef LIBWIRE_PACKET_VIEW_H_
#define LIBWIRE_PACKET_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"

namespace wire {

// The largest packet accepted, in bytes: the payload of one Ethernet frame.
inline constexpr std::size_t kMaximumPacketBytes = 1500;

struct TcpFlags {
  bool m_finish = false;
  bool m_synchronise = false;
  bool m_reset = false;
  bool m_acknowledge = false;
};

class PacketView {
 public:
  // Checks lengths, version, header checksum and protocol. Errors: WireError.
  // Leaves the check of the TCP checksum to the receiving host, as a router
  // does.
  static base::Outcome<PacketView> Parse(std::span<const std::uint8_t> bytes);

  base::Endpoint source() const { return m_source; }
  base::Endpoint destination() const { return m_destination; }
  TcpFlags flags() const { return m_flags; }
  std::uint32_t sequence() const { return m_sequence; }
  std::uint32_t acknowledgement() const { return m_acknowledgement; }
  // The window field as sent, without the window scale option (RFC 7323).
  std::uint16_t window() const { return m_window; }
  std::size_t payload_bytes() const { return m_payload_bytes; }
  // The packet without any padding after it.
  std::span<const std::uint8_t> bytes() const { return m_bytes; }

 private:
  PacketView() = default;

  std::span<const std::uint8_t> m_bytes;
  base::Endpoint m_source;
  base::Endpoint m_destination;
  TcpFlags m_flags;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
  std::uint16_t m_window = 0;
  std::size_t m_payload_bytes = 0;
};

}  // namespace wire

#endif  // LIBWIRE_PACKET_VIEW_H_
