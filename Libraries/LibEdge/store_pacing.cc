#include "LibEdge/store_pacing.h"

#include <algorithm>
#include <chrono>

#include "LibEdge/edge_settings.h"

namespace edge {

namespace {

using std::chrono::milliseconds;

// A lost call up to its timeout (1 s), the longest back-off and a call that
// succeeds.
constexpr base::Duration kLostCallAndRetryTime = milliseconds(2000);
// The rest of a bound is left for delays in the balancer, such as a slow
// processor or a congested link.
constexpr double kUsableBoundShare = 0.9;
constexpr base::Duration kMinimumPause = milliseconds(200);
// The time to detect, after the wait of a watch, that the watch was lost, and
// to repeat it: the timeout of a call (1 s), a back-off and a call.
constexpr base::Duration kLostWatchRecoveryTime = milliseconds(1300);

base::Duration Scale(base::Duration duration, double factor) {
  return std::chrono::duration_cast<base::Duration>(duration * factor);
}

}  // namespace

catalog::WatcherPolicy MakeWatcherPolicy(const EdgeSettings& settings) {
  const base::Duration bound =
      std::min(settings.m_drain_bound, settings.m_configuration_bound);
  catalog::WatcherPolicy policy;
  policy.m_pause_between_watches = std::max(
      Scale(bound, kUsableBoundShare) - kLostCallAndRetryTime, kMinimumPause);
  policy.m_watch_wait = std::max(
      settings.m_settling_time - kLostWatchRecoveryTime, kMinimumPause);
  return policy;
}

}  // namespace edge
