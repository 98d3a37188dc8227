// A request of a peer and the time of its receipt.

#ifndef LIBFEED_RECEIVED_REQUEST_H_
#define LIBFEED_RECEIVED_REQUEST_H_

#include <algorithm>
#include <optional>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFeed/feed_request.h"

namespace feed {

struct ReceivedRequest {
  base::Endpoint m_source;
  FeedRequest m_request;
  base::TimePoint m_received_at;

  // The time up to which the view has to contain all changes; nothing if the
  // requester takes any view. Not earlier than the time that the requester
  // means, since the request was under way.
  std::optional<base::TimePoint> NeededAsOf() const {
    if (!m_request.m_needed_view_age)
      return std::nullopt;
    return m_received_at - *m_request.m_needed_view_age;
  }
  // The age at the receipt of a view that has `age` now. A view that was
  // confirmed since is as new as the request.
  std::optional<base::Duration> AgeAtReceipt(std::optional<base::Duration> age,
                                             base::TimePoint now) const {
    if (!age)
      return std::nullopt;
    return std::max(*age - (now - m_received_at), base::Duration::zero());
  }
};

}  // namespace feed

#endif  // LIBFEED_RECEIVED_REQUEST_H_
