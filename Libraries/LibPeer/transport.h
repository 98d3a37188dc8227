// The transport of messages between balancers.

#ifndef LIBPEER_TRANSPORT_H_
#define LIBPEER_TRANSPORT_H_

#include <cstdint>

namespace peer {

enum class Transport : std::uint8_t {
  // One UDP datagram holds one message of at most kMaximumDatagramBytes.
  kDatagram,
  // A TCP connection carries consecutive messages of at most
  // kMaximumFrameBytes.
  kStream,
};

}  // namespace peer

#endif  // LIBPEER_TRANSPORT_H_
