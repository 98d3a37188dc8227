// Derives the intervals of calls to the store from the bounds on changes.

#ifndef LIBEDGE_STORE_PACING_H_
#define LIBEDGE_STORE_PACING_H_

#include "LibCatalog/collection_watcher.h"

namespace edge {

struct EdgeSettings;

// The pause between two watches is so short that a change is received within
// the smaller of the two bounds on changes, even if one call is lost and
// repeated. The wait of a watch is so short that a watch whose connection
// became silent is detected and repeated within the settling time.
catalog::WatcherPolicy MakeWatcherPolicy(const EdgeSettings& settings);

}  // namespace edge

#endif  // LIBEDGE_STORE_PACING_H_
