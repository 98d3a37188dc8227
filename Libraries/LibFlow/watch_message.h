// Requests and replies between balancers about flows that may be silent.

#ifndef LIBFLOW_WATCH_MESSAGE_H_
#define LIBFLOW_WATCH_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibFlow/stream_packet.h"

namespace flow {

// Maximum number of streams in one request: its message fits in a datagram.
inline constexpr std::size_t kMaximumWatchedStreams = 60;

// One direction of a flow whose payload at `m_position` is sent repeatedly.
struct WatchedStream {
  std::uint64_t m_flow_hash = 0;
  std::uint32_t m_position = 0;
  StreamEnd m_sender = StreamEnd::kCaller;
};

// Requests a balancer to watch the streams for the duration of a watch.
struct WatchRequest {
  // Identifies the request among those of the sender.
  std::uint32_t m_number = 0;
  std::vector<WatchedStream> m_streams;
};

// The observations of a stream by one balancer during a watch.
struct StreamReport {
  // The other end acknowledged the payload or announced a closed window, or a
  // packet opened, closed or aborted the flow.
  bool m_is_answered = false;
  // Payloads seen from the watched position: during the watch, saturating at
  // 127; and including those seen before, saturating at 255.
  std::uint8_t m_repetitions = 0;
  std::uint8_t m_observations = 0;
  // Bytes from the watched position to the end of the newest payload,
  // saturating at 65,535; zero if none was seen.
  std::uint16_t m_extent_bytes = 0;
};

// The reply to a request after the watch, with one report for each stream of
// the request, in its order.
struct WatchReply {
  // The number of the request.
  std::uint32_t m_number = 0;
  std::vector<StreamReport> m_reports;
};

}  // namespace flow

#endif  // LIBFLOW_WATCH_MESSAGE_H_
