// How often the store is asked, worked out from the bounds on changes.

#ifndef LIBEDGE_STORE_PACING_H_
#define LIBEDGE_STORE_PACING_H_

#include "LibCatalog/collection_follower.h"

namespace edge {

struct EdgeSettings;

// The pause between two watches leaves, of the smaller bound, the time for an
// answer, its loss and a retry. A watch waits less long than it takes a record
// to lapse, so that an outage that makes records lapse is noticed.
catalog::FollowerPolicy MakeFollowerPolicy(const EdgeSettings& settings);

}  // namespace edge

#endif  // LIBEDGE_STORE_PACING_H_
