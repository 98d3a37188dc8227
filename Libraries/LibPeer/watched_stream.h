// One direction of a flow, and the position from which its sender repeats
// payload.

#ifndef LIBPEER_WATCHED_STREAM_H_
#define LIBPEER_WATCHED_STREAM_H_

#include <cstdint>

namespace peer {

struct WatchedStream {
  std::uint64_t m_flow_hash = 0;
  std::uint32_t m_position = 0;
  // The value of flow::StreamEnd for the end that sends the payload.
  std::uint8_t m_sender = 0;

  friend bool operator==(const WatchedStream&, const WatchedStream&) = default;
};

}  // namespace peer

#endif  // LIBPEER_WATCHED_STREAM_H_
