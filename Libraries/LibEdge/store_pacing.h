// How often the store is asked, worked out from the bounds on changes.

#ifndef LIBEDGE_STORE_PACING_H_
#define LIBEDGE_STORE_PACING_H_

#include "LibCatalog/collection_watcher.h"

namespace edge {

struct EdgeSettings;

// The pause between two watches leaves, of the smaller bound, the time for an
// answer, its loss and a retry. A watch waits so long that a connection that
// went silent is found, and the store asked again, when the time without
// bounds after that fault ends.
catalog::WatcherPolicy MakeWatcherPolicy(const EdgeSettings& settings);

}  // namespace edge

#endif  // LIBEDGE_STORE_PACING_H_
