// Derives the intervals of calls to the store from the bounds on changes.

#ifndef LIBEDGE_STORE_PACING_H_
#define LIBEDGE_STORE_PACING_H_

#include "LibCatalog/collection_watcher.h"
#include "LibFeed/feed_settings.h"

namespace edge {

struct EdgeSettings;

// The pause between two watches is so short that a change is received within
// the smallest of the bounds on changes, even if one call is lost and
// repeated. The wait of a watch is so short that a watch whose connection
// became silent is detected and repeated within the settling time.
catalog::WatcherPolicy MakeWatcherPolicy(const EdgeSettings& settings);

// The same for a balancer that reads the store for others. They receive a
// change after a further poll, so pause and wait are shorter by that time. The
// wait is also so short that, if the store becomes silent to all readers, the
// others detect that and read the store themselves within the bound.
catalog::WatcherPolicy MakeReaderPolicy(const EdgeSettings& settings);

// The same for a balancer that calls the store because no reader is current.
// Many balancers may be in this state, so the calls are rarer while they fail.
// After an outage, the first call that succeeds comes within the settling time,
// also if the call before it was lost: there may be no reader left that knows
// of the store's return.
catalog::WatcherPolicy MakeFallbackPolicy(const EdgeSettings& settings);

// A balancer without a current reader reads the store early enough to receive a
// change within its bound. m_feed must be set.
feed::FeedSettings MakeFeedSettings(const EdgeSettings& settings);

}  // namespace edge

#endif  // LIBEDGE_STORE_PACING_H_
