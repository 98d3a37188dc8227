// Derives the intervals of calls to the store from the bounds on changes.

#ifndef LIBEDGE_STORE_PACING_H_
#define LIBEDGE_STORE_PACING_H_

#include "LibCatalog/collection_watcher.h"

namespace edge {

struct EdgeSettings;

// The pause between two watches is the smaller bound less the time for a lost
// call and a retry. The wait of a watch is so short that a watch on a silent
// connection is detected and repeated within the settling time after that
// fault.
catalog::WatcherPolicy MakeWatcherPolicy(const EdgeSettings& settings);

}  // namespace edge

#endif  // LIBEDGE_STORE_PACING_H_
