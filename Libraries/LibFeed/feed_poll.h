// A request that a balancer is to send to a peer.

#ifndef LIBFEED_FEED_POLL_H_
#define LIBFEED_FEED_POLL_H_

#include "LibBase/ipv4.h"
#include "LibFeed/feed_request.h"

namespace feed {

struct FeedPoll {
  base::Ipv4Address m_peer;
  FeedRequest m_request;
};

}  // namespace feed

#endif  // LIBFEED_FEED_POLL_H_
