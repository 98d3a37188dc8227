// Asks the receiver for an Ack with the same sequence number.

#ifndef LIBPEER_PING_H_
#define LIBPEER_PING_H_

#include <cstdint>

namespace peer {

struct Ping {
  std::uint32_t m_sequence = 0;
  // Whether the Ack shall carry the receiver's full member record.
  bool m_wants_record = false;

  friend bool operator==(const Ping&, const Ping&) = default;
};

}  // namespace peer

#endif  // LIBPEER_PING_H_
