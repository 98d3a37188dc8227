#include "LibSteering/extra_openings.h"

#include <algorithm>

namespace steering {

base::Duration ExtraOpenings::CopyDelay(base::Duration longest,
                                        base::TimePoint now) const {
  const auto delay = m_handshakes.Percentile(kCopyPercentile, now);
  if (!delay)
    return longest;
  return std::min(std::max(*delay, kMinimumCopyDelay), longest);
}

bool ExtraOpenings::Take(ExtraReason reason, double load, base::TimePoint now) {
  const bool is_taken = m_budget.Take(load, now);
  ExtraOpeningCounts& counts = MutableCountsOf(reason);
  ++(is_taken ? counts.m_sent : counts.m_refused);
  return is_taken;
}

}  // namespace steering
