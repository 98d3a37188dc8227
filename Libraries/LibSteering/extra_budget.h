// Limits the extra openings of this balancer to a percentage of the openings of
// its callers. A percentage of what was asked for cannot multiply a load, as
// in retry budgets.

#ifndef LIBSTEERING_EXTRA_BUDGET_H_
#define LIBSTEERING_EXTRA_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"

namespace steering {

class ExtraBudget {
 public:
  // The sliding window whose openings are counted.
  static constexpr base::Duration kWindow = std::chrono::seconds(10);
  static constexpr double kMaximumPercent = 20;
  // Up to the first load, in requests in progress per slot, the whole
  // percentage is available, and at the second nothing. From one request per
  // slot on, servers have queues.
  static constexpr double kFullUpToLoad = 1.5;
  static constexpr double kNothingFromLoad = 3;

  // `percent` is limited to the range from 0 to kMaximumPercent.
  explicit ExtraBudget(double percent);

  // Queries.
  bool IsEnabled() const { return m_percent > 0; }

  // Commands. Times never decrease from call to call.
  // Counts the opening of a caller. Extra openings are not counted here.
  void CountOpening(base::TimePoint now);
  // Counts one extra opening if the budget covers it: together with those of
  // the window, the extra openings are at most the percentage of the window's
  // openings. `load` is in requests in progress per slot.
  bool Take(double load, base::TimePoint now);

 private:
  static constexpr std::size_t kBucketsOfWindow = 100;
  static constexpr base::Duration kBucketWidth = kWindow / kBucketsOfWindow;
  // The oldest bucket lies in the window in part. It counts for the extra
  // openings and not for the openings, so that the limit holds at any time.
  static constexpr std::size_t kBuckets = kBucketsOfWindow + 1;

  struct Bucket {
    std::int64_t m_index = -1;
    std::uint32_t m_openings = 0;
    std::uint32_t m_extra = 0;
  };

  Bucket& BucketOf(base::TimePoint now);

  double m_percent;
  std::array<Bucket, kBuckets> m_buckets;
};

}  // namespace steering

#endif  // LIBSTEERING_EXTRA_BUDGET_H_
