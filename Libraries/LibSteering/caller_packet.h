// The fields of a caller's packet that decide how the packet is steered.

#ifndef LIBSTEERING_CALLER_PACKET_H_
#define LIBSTEERING_CALLER_PACKET_H_

#include <cstdint>

#include "LibFlow/flow_key.h"
#include "LibSteering/ids.h"

namespace steering {

struct CallerPacket {
  flow::FlowKey m_flow;
  FlowToken m_token;
  // The packet is the SYN that opens a flow, or a retransmission of the SYN.
  bool m_is_opening = false;
  bool m_has_acknowledgement = false;
  // The caller closes the flow (FIN).
  bool m_is_end = false;
  // The caller aborts the flow (RST).
  bool m_is_reset = false;
  // The sequence number of the first payload byte, modulo 2^32.
  std::uint32_t m_sequence = 0;
  // The sequence number of the next byte that the caller expects, modulo 2^32.
  std::uint32_t m_acknowledgement = 0;
  std::uint16_t m_payload_bytes = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_CALLER_PACKET_H_
