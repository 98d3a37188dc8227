// Requests an Ack with the sequence number of this Ping.

#ifndef LIBPEER_PING_H_
#define LIBPEER_PING_H_

#include <cstdint>

namespace peer {

struct Ping {
  std::uint32_t m_sequence = 0;
  // Whether to include the receiver's full member record in the Ack.
  bool m_wants_record = false;

  friend bool operator==(const Ping&, const Ping&) = default;
};

}  // namespace peer

#endif  // LIBPEER_PING_H_
