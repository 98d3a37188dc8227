#include "LibObservability/sliding_window_counter.h"

#include <algorithm>

#include "LibBase/verify.h"

namespace observability {

SlidingWindowCounter::SlidingWindowCounter(base::Duration bucket_width,
                                           std::size_t bucket_count)
    : m_bucket_width(bucket_width), m_buckets(bucket_count) {
  VERIFY(bucket_width > base::Duration::zero());
  VERIFY(bucket_count > 0);
}

std::int64_t SlidingWindowCounter::IndexOf(base::TimePoint time) const {
  return time.time_since_epoch() / m_bucket_width;
}

EventCounts SlidingWindowCounter::Sum(base::Duration window,
                                      base::TimePoint now) const {
  const std::int64_t last_index = IndexOf(now);
  const auto covered_buckets =
      (window + m_bucket_width - base::Duration(1)) / m_bucket_width;
  EventCounts sum;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.m_index > last_index - covered_buckets &&
        bucket.m_index <= last_index)
      sum += bucket.m_counts;
  }
  return sum;
}

void SlidingWindowCounter::Add(const EventCounts& counts, base::TimePoint now) {
  m_latest_index = std::max(m_latest_index, IndexOf(now));
  Bucket& bucket =
      m_buckets[static_cast<std::size_t>(m_latest_index) % m_buckets.size()];
  if (bucket.m_index != m_latest_index)
    bucket = {m_latest_index, {}};
  bucket.m_counts += counts;
}

}  // namespace observability
