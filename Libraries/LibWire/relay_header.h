// The header in front of a packet that one balancer relays to another. Each
// relayed packet has this header, so it has a fixed layout in network byte
// order; all other messages between balancers use cereal (LibPeer).

#ifndef LIBWIRE_RELAY_HEADER_H_
#define LIBWIRE_RELAY_HEADER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"

namespace wire {

// The first byte of a relayed packet. The first four bits of an IPv4 packet are
// its version 4, so one socket can receive both.
inline constexpr std::uint8_t kRelayMagic = 0xcf;
inline constexpr std::uint8_t kRelayVersion = 1;
inline constexpr std::size_t kRelayHeaderBytes = 16;

struct RelayHeader {
  // Why the packet is relayed: a value of LibFlow's RelayPurpose.
  std::uint8_t m_purpose = 0;
  // For an opening, the number of relays so far. For a search, the number of
  // balancers of the search order that were searched before the receiver.
  std::uint8_t m_hops = 0;
  // For a packet from a server, this server; for a packet from a caller, the
  // server that the relaying balancer knows, or zero.
  base::Ipv4Address m_server;
  // The balancer that relays the packet.
  base::BalancerId m_sender;
};

std::array<std::uint8_t, kRelayHeaderBytes> EncodeRelayHeader(
    const RelayHeader& header);

// Errors: WireError.
base::Outcome<RelayHeader> DecodeRelayHeader(
    std::span<const std::uint8_t> bytes);

}  // namespace wire

#endif  // LIBWIRE_RELAY_HEADER_H_
