// Asks the receiver to watch streams that may have gone silent and to report
// what it saw of them.

#ifndef LIBPEER_FLOW_WATCH_REQUEST_H_
#define LIBPEER_FLOW_WATCH_REQUEST_H_

#include <cstdint>
#include <vector>

#include "LibPeer/watched_stream.h"

namespace peer {

struct FlowWatchRequest {
  // The sender's number of the request.
  std::uint32_t m_number = 0;
  // At most kMaximumWatchedStreams.
  std::vector<WatchedStream> m_streams;

  friend bool operator==(const FlowWatchRequest&,
                         const FlowWatchRequest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_FLOW_WATCH_REQUEST_H_
