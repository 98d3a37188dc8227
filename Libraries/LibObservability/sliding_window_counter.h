// Counts events over a sliding time window in a fixed number of buckets.

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
  // Covers a time of `bucket_count` times `bucket_width`.
  SlidingWindowCounter(base::Duration bucket_width, std::size_t bucket_count);

  // Queries.
  // Returns the counts of the last `window` before `now`, rounded up to whole
  // buckets and limited to the buckets of the counter. The oldest bucket and
  // the bucket of `now` are counted in full.
  EventCounts Sum(base::Duration window, base::TimePoint now) const;

  // Commands.
  // Adds `counts` to the bucket of `now`, or to the newest bucket if `now` is
  // earlier than that bucket.
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
