#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/edge_settings.h"
#include "LibEdge/store_pacing.h"

namespace edge {

using std::chrono::milliseconds;

TEST_CASE("a change is received within its bound also if one call is lost") {
  // A lost call is detected at its timeout; the next call succeeds.
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

TEST_CASE("calls keep to the bound on evacuations if it is the smallest") {
  EdgeSettings settings;
  const auto pause = [&settings] {
    return MakeWatcherPolicy(settings).m_pause_between_watches;
  };
  const base::Duration without = pause();
  settings.m_evacuation_bound = milliseconds(5000);
  CHECK(pause() == without);

  settings.m_evacuation_bound = milliseconds(2600);
  CHECK(pause() < without);
}

TEST_CASE(
    "a watch on a silent connection is repeated within the settling time") {
  // A change that is made right after the fault must be received by the end of
  // the settling time, whatever its bound is.
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

TEST_CASE(
    "a change reaches the followers of a reader within its bound also if a "
    "call and a poll are lost") {
  constexpr base::Duration kLostCallTime = milliseconds(1000);
  for (const int bound_ms : {3000, 5000, 6000}) {
    EdgeSettings settings;
    settings.m_feed = base::Endpoint{base::Ipv4Address(1), 7721};
    settings.m_drain_bound = milliseconds(bound_ms);
    settings.m_configuration_bound = milliseconds(bound_ms);
    const catalog::WatcherPolicy policy = MakeReaderPolicy(settings);
    const feed::FeedSettings feed = MakeFeedSettings(settings);

    const base::Duration to_reader = policy.m_pause_between_watches +
                                     kLostCallTime + policy.m_initial_back_off;
    const base::Duration to_follower =
        2 * feed.m_poll_interval + feed.m_response_timeout;
    CHECK(to_reader + to_follower < settings.m_drain_bound);
    // Without readers, the balancer reads the store itself.
    CHECK(feed.m_fed_for + feed.m_outage_spread + kLostCallTime +
              policy.m_initial_back_off <
          settings.m_drain_bound);
  }
}

TEST_CASE(
    "the followers of readers to which the store is silent read it within the "
    "bound, also if a poll is lost") {
  constexpr base::Duration kCallTime = milliseconds(150);
  for (const int bound_ms : {3000, 5000, 6000}) {
    EdgeSettings settings;
    settings.m_feed = base::Endpoint{base::Ipv4Address(1), 7721};
    settings.m_drain_bound = milliseconds(bound_ms);
    settings.m_configuration_bound = milliseconds(bound_ms);
    settings.m_settling_time = milliseconds(6000);
    const catalog::WatcherPolicy policy = MakeReaderPolicy(settings);
    const feed::FeedSettings feed = MakeFeedSettings(settings);

    const base::Duration until_overdue =
        policy.m_watch_wait + policy.m_overdue_response;
    const base::Duration until_told =
        feed.m_poll_interval + feed.m_response_timeout;
    CHECK(until_overdue + until_told + feed.m_outage_spread + kCallTime <
          settings.m_drain_bound);
  }
}

TEST_CASE("a reader detects a silent watch before its followers' bounds hold") {
  for (const int settling_ms : {4000, 5000, 6000}) {
    EdgeSettings settings;
    settings.m_feed = base::Endpoint{base::Ipv4Address(1), 7721};
    settings.m_settling_time = milliseconds(settling_ms);
    const catalog::WatcherPolicy policy = MakeReaderPolicy(settings);
    const feed::FeedSettings feed = MakeFeedSettings(settings);

    constexpr base::Duration kCallTimeout = milliseconds(1000);
    constexpr base::Duration kNextCallTime = milliseconds(100);
    CHECK(policy.m_watch_wait + kCallTimeout + policy.m_initial_back_off +
              kNextCallTime + feed.m_poll_interval <=
          settings.m_settling_time);
  }
}

// The waits of up to 8 s were longer than the settling time.
TEST_CASE(
    "a balancer without readers calls the store within the settling time after "
    "an outage") {
  for (const int settling_ms : {4000, 5000, 6000}) {
    EdgeSettings settings;
    settings.m_feed = base::Endpoint{base::Ipv4Address(1), 7721};
    settings.m_settling_time = milliseconds(settling_ms);
    const catalog::WatcherPolicy policy = MakeFallbackPolicy(settings);

    constexpr base::Duration kCallTimeout = milliseconds(1000);
    // The servers first, then the manifest.
    constexpr base::Duration kNextCallsTime = milliseconds(100);
    CHECK(policy.m_watch_wait_in_outage + kCallTimeout +
              policy.m_maximum_back_off + 2 * policy.m_watch_wait_in_outage +
              kNextCallsTime <=
          settings.m_settling_time);
    CHECK(policy.m_initial_back_off >=
          MakeReaderPolicy(settings).m_maximum_back_off);
  }
}

TEST_CASE("only a fleet that starts for the first time waits for a reader") {
  EdgeSettings settings;
  settings.m_feed = base::Endpoint{base::Ipv4Address(1), 7721};
  CHECK(MakeFeedSettings(settings).m_start_patience == base::Duration::zero());

  settings.m_is_first_start = true;

  CHECK(MakeFeedSettings(settings).m_start_patience > milliseconds(500));
}

}  // namespace edge
