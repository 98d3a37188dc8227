#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/edge_settings.h"
#include "LibEdge/store_pacing.h"

namespace edge {

using std::chrono::milliseconds;

TEST_CASE("a change is known within its bound also after one lost call") {
  // A call that is lost shows after its time limit; the next one answers.
  constexpr base::Duration kLostCallTime = milliseconds(1000);
  for (const int bound_ms : {3000, 5000, 8000}) {
    EdgeSettings settings;
    settings.m_drain_bound = milliseconds(bound_ms);
    settings.m_configuration_bound = milliseconds(bound_ms + 500);

    const catalog::WatcherPolicy policy = MakeWatcherPolicy(settings);

    CHECK(policy.m_pause_between_watches + kLostCallTime +
              policy.m_initial_back_off <
          settings.m_drain_bound);
    CHECK(policy.m_pause_between_watches > milliseconds(0));
  }
}

TEST_CASE("a watch that went silent is replaced when bounds hold again") {
  // A change made right after the fault must be known when the settling time
  // is over, whatever its bound.
  for (const int settling_ms : {4000, 5000}) {
    EdgeSettings settings;
    settings.m_settling_time = milliseconds(settling_ms);

    const catalog::WatcherPolicy policy = MakeWatcherPolicy(settings);

    constexpr base::Duration kCallTimeout = milliseconds(1000);
    constexpr base::Duration kNextCallTime = milliseconds(100);
    CHECK(policy.m_watch_wait + kCallTimeout + policy.m_initial_back_off +
              kNextCallTime <=
          settings.m_settling_time);
  }
}

}  // namespace edge
