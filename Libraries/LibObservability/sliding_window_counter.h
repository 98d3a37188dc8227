// Counts events over a sliding time window in a bounded ring of buckets.

#ifndef LIBOBSERVABILITY_SLIDING_WINDOW_COUNTER_H_
#define LIBOBSERVABILITY_SLIDING_WINDOW_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/time.h"
#include "LibObservability/burn_window.h"

namespace observability {

class SlidingWindowCounter {
 public:
  // Covers `bucket_count` buckets of `bucket_width` each.
  SlidingWindowCounter(base::Duration bucket_width, std::size_t bucket_count);

  // Queries.
  // The counts of the buckets that `window` before `now` covers, at most the
  // whole ring. The oldest and the present bucket count whole, so the sum
  // reaches back by `window` rounded up to whole buckets at most.
  EventCounts Sum(base::Duration window, base::TimePoint now) const;

  // Commands.
  // Counts at `now`. Times before those already seen count as the latest.
  void Add(const EventCounts& counts, base::TimePoint now);

 private:
  struct Bucket {
    std::int64_t m_index = -1;
    EventCounts m_counts;
  };

  std::int64_t IndexOf(base::TimePoint time) const;

  base::Duration m_bucket_width;
  std::int64_t m_latest_index = 0;
  std::vector<Bucket> m_buckets;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_SLIDING_WINDOW_COUNTER_H_
