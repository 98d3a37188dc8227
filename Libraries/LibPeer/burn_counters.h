// Counters of the sender's service-level burn report.

#ifndef LIBPEER_BURN_COUNTERS_H_
#define LIBPEER_BURN_COUNTERS_H_

#include <vector>

#include "LibPeer/burn_counter.h"

namespace peer {

struct BurnCounters {
  // At most kMaximumBurnCounters.
  std::vector<BurnCounter> m_counters;

  friend bool operator==(const BurnCounters&, const BurnCounters&) = default;
};

}  // namespace peer

#endif  // LIBPEER_BURN_COUNTERS_H_
