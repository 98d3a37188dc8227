// Acknowledges a Ping, or a PingRequest whose target has acknowledged the ping.

#ifndef LIBPEER_ACK_H_
#define LIBPEER_ACK_H_

#include <cstdint>

namespace peer {

struct Ack {
  // The sequence number of the Ping or the PingRequest.
  std::uint32_t m_sequence = 0;

  friend bool operator==(const Ack&, const Ack&) = default;
};

}  // namespace peer

#endif  // LIBPEER_ACK_H_
