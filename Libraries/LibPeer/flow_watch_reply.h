// Reply to a FlowWatchRequest, sent at the end of the watch period.

#ifndef LIBPEER_FLOW_WATCH_REPLY_H_
#define LIBPEER_FLOW_WATCH_REPLY_H_

#include <cstdint>
#include <vector>

#include "LibPeer/stream_report.h"

namespace peer {

struct FlowWatchReply {
  // The number of the request.
  std::uint32_t m_number = 0;
  // In the order of the request; at most kMaximumWatchedStreams.
  std::vector<StreamReport> m_reports;

  friend bool operator==(const FlowWatchReply&,
                         const FlowWatchReply&) = default;
};

}  // namespace peer

#endif  // LIBPEER_FLOW_WATCH_REPLY_H_
