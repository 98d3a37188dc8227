// Requests that the receiver ping a third member and forward the Ack to the
// sender (the indirect probe of SWIM, section 3.1).

#ifndef LIBPEER_PING_REQUEST_H_
#define LIBPEER_PING_REQUEST_H_

#include <cstdint>

#include "LibBase/ipv4.h"

namespace peer {

struct PingRequest {
  // The sequence number of the Ack that the receiver returns.
  std::uint32_t m_sequence = 0;
  // The peer endpoint of the third member.
  base::Endpoint m_target;

  friend bool operator==(const PingRequest&, const PingRequest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_PING_REQUEST_H_
