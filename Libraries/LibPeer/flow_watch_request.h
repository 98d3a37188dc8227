// Requests that the receiver watch streams that may be silent and report its
// observations of them.

#ifndef LIBPEER_FLOW_WATCH_REQUEST_H_
#define LIBPEER_FLOW_WATCH_REQUEST_H_

#include <cstdint>
#include <vector>

#include "LibPeer/watched_stream.h"

namespace peer {

struct FlowWatchRequest {
  // Identifies the request among those of the sender.
  std::uint32_t m_number = 0;
  // At most kMaximumWatchedStreams.
  std::vector<WatchedStream> m_streams;

  friend bool operator==(const FlowWatchRequest&,
                         const FlowWatchRequest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_FLOW_WATCH_REQUEST_H_
