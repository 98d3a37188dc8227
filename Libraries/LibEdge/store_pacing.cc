#include "LibEdge/store_pacing.h"

#include <algorithm>
#include <chrono>

#include "LibEdge/edge_settings.h"

namespace edge {

namespace {

using std::chrono::milliseconds;

// One call that is lost and found out (1 s), one that succeeds and the longest
// back-off between them.
constexpr base::Duration kLostCallAndRetryTime = milliseconds(2000);
// The rest is left for the balancer's own delays: a slow processor, a full
// link.
constexpr double kUsableBoundShare = 0.9;
constexpr base::Duration kMinimumPause = milliseconds(200);
// What it takes to find a watch lost after its wait, and to ask again: the
// call's own time limit (1 s), a back-off and a call.
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
