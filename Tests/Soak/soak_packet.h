// The packets of callers and backend servers. Their keyed checksum shows
// whether a balancer changed anything but the token.

#ifndef TESTS_SOAK_SOAK_PACKET_H_
#define TESTS_SOAK_SOAK_PACKET_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibFlow/flow_key.h"

namespace soak {

inline constexpr std::uint8_t kSyn = 1;
inline constexpr std::uint8_t kAck = 2;
inline constexpr std::uint8_t kFin = 4;
inline constexpr std::uint8_t kRst = 8;

struct SoakPacket {
  base::Endpoint m_source;
  base::Endpoint m_destination;
  std::uint32_t m_checksum = 0;
  std::uint32_t m_token = 0;
  std::uint8_t m_flags = 0;
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgement = 0;
  std::string m_payload;

  bool Has(std::uint8_t flag) const { return (m_flags & flag) != 0; }
  // Whether a caller or server wrote the packet and nothing but its token
  // changed since. A balancer's own packets have the checksum zero.
  bool HasValidChecksum() const;
};

// Writes the packet with a valid checksum, whatever `m_checksum` is.
std::vector<std::uint8_t> Encode(const SoakPacket& packet);
// Returns nothing if the bytes are not a packet.
std::optional<SoakPacket> Decode(std::span<const std::uint8_t> bytes);

}  // namespace soak

#endif  // TESTS_SOAK_SOAK_PACKET_H_
