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
  // Returns the counts of the buckets that cover the last `window` before
  // `now`, or of all buckets if `window` is longer than the counter covers. The
  // oldest of these buckets and the bucket of `now` are counted in full, so the
  // sum reaches back by at most `window` rounded up to whole buckets.
  EventCounts Sum(base::Duration window, base::TimePoint now) const;

  // Commands.
  // Adds `counts` to the bucket of `now`, or to the newest bucket if `now` is
  // earlier than that bucket.
  void Add(const EventCounts& counts, base::TimePoint now);

 private:
  struct Bucket {
    // The result of IndexOf for the events in the bucket, or -1 if the bucket
    // is unused.
    std::int64_t m_index = -1;
    EventCounts m_counts;
  };

  // Returns the number of whole bucket widths from the clock's epoch to `time`.
  std::int64_t IndexOf(base::TimePoint time) const;

  base::Duration m_bucket_width;
  std::int64_t m_latest_index = 0;
  std::vector<Bucket> m_buckets;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_SLIDING_WINDOW_COUNTER_H_
