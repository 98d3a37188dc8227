// The newest measured times of one kind, in bounded memory. Answers how large a
// given percentile of them is. Old times do not count.

#ifndef LIBSTEERING_RECENT_TIMES_H_
#define LIBSTEERING_RECENT_TIMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "LibBase/time.h"

namespace steering {

class RecentTimes {
 public:
  // With fewer times there is no result: the 95th percentile of 20 times is the
  // largest but one, and of fewer times the largest, which may be an outlier.
  static constexpr std::size_t kMinimumTimes = 20;
  // Older times do not count. A path or a service that changed is known by its
  // new times within a minute.
  static constexpr base::Duration kMaximumAge = std::chrono::seconds(60);

  // Keeps the newest `capacity` times, which must be at least kMinimumTimes.
  explicit RecentTimes(std::size_t capacity) : m_capacity(capacity) {}

  // Queries.
  // The smallest time that is not exceeded by `percent` percent of the times
  // (nearest rank); nothing with fewer than kMinimumTimes.
  std::optional<base::Duration> Percentile(double percent,
                                           base::TimePoint now) const;
  // The share of times above `limit`; nothing with fewer than kMinimumTimes.
  std::optional<double> ShareAbove(base::Duration limit,
                                   base::TimePoint now) const;

  // Commands.
  void Add(base::Duration time, base::TimePoint now);

 private:
  struct Entry {
    base::TimePoint m_at;
    base::Duration m_time;
  };

  // The times that still count; empty if there are fewer than kMinimumTimes.
  std::vector<base::Duration> Valid(base::TimePoint now) const;

  std::size_t m_capacity;
  // Once full, a ring in which m_next is the oldest entry.
  std::vector<Entry> m_entries;
  std::size_t m_next = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_RECENT_TIMES_H_
