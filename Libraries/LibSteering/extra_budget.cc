#include "LibSteering/extra_budget.h"

#include <algorithm>

namespace steering {

namespace {

// The share of the budget that is available at `load`.
double ShareAt(double load) {
  constexpr double kFull = ExtraBudget::kFullUpToLoad;
  constexpr double kNothing = ExtraBudget::kNothingFromLoad;
  return std::clamp((kNothing - load) / (kNothing - kFull), 0.0, 1.0);
}

}  // namespace

ExtraBudget::ExtraBudget(double percent)
    : m_percent(std::clamp(percent, 0.0, kMaximumPercent)) {}

ExtraBudget::Bucket& ExtraBudget::BucketOf(base::TimePoint now) {
  const std::int64_t index = now.time_since_epoch() / kBucketWidth;
  Bucket& bucket = m_buckets[static_cast<std::size_t>(index) % kBuckets];
  if (bucket.m_index != index)
    bucket = {index, 0, 0};
  return bucket;
}

void ExtraBudget::CountOpening(base::TimePoint now) {
  if (IsEnabled())
    ++BucketOf(now).m_openings;
}

bool ExtraBudget::Take(double load, base::TimePoint now) {
  if (!IsEnabled())
    return false;
  Bucket& newest = BucketOf(now);
  std::uint64_t openings = 0;
  std::uint64_t extra = 0;
  for (const Bucket& bucket : m_buckets) {
    const std::int64_t age = newest.m_index - bucket.m_index;
    if (age >= static_cast<std::int64_t>(kBuckets))
      continue;
    extra += bucket.m_extra;
    if (age < static_cast<std::int64_t>(kBucketsOfWindow))
      openings += bucket.m_openings;
  }
  const double allowed =
      m_percent / 100 * ShareAt(load) * static_cast<double>(openings);
  if (static_cast<double>(extra + 1) > allowed)
    return false;
  ++newest.m_extra;
  return true;
}

}  // namespace steering
