// What balancers ask one another about flows that may have gone silent.

#ifndef LIBFLOW_WATCH_MESSAGE_H_
#define LIBFLOW_WATCH_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibFlow/stream_packet.h"

namespace flow {

// The most streams that one request names: its message fits in a datagram.
inline constexpr std::size_t kMaximumWatchedStreams = 60;

// One direction of a flow whose payload at `m_position` is sent again and
// again.
struct WatchedStream {
  std::uint64_t m_flow_hash = 0;
  std::uint32_t m_position = 0;
  StreamEnd m_sender = StreamEnd::kCaller;
};

// Asks to watch the streams for the time of a watch.
struct WatchRequest {
  std::uint32_t m_number = 0;
  std::vector<WatchedStream> m_streams;
};

// What one balancer saw of a stream during a watch.
struct StreamReport {
  // The other end acknowledged the payload, or the flow was closed.
  bool m_is_answered = false;
  // Payloads sent from the watched position during the watch, saturating at
  // 127; and all that were seen before too, saturating at 255.
  std::uint8_t m_repetitions = 0;
  std::uint8_t m_observations = 0;
  // From the watched position to the end of the newest payload, saturating at
  // 65,535; zero if none was seen.
  std::uint16_t m_extent_bytes = 0;
};

// Answers a request when the watch is over, in the order of its streams.
struct WatchReply {
  std::uint32_t m_number = 0;
  std::vector<StreamReport> m_reports;
};

}  // namespace flow

#endif  // LIBFLOW_WATCH_MESSAGE_H_
