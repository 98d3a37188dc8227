#include "LibEdge/store_pacing.h"

#include <algorithm>
#include <chrono>

#include "LibEdge/edge_settings.h"

namespace edge {

namespace {

using std::chrono::milliseconds;

// The time after which a call without a response has failed, from the end of
// its wait (see platform/store_calls.cc).
constexpr base::Duration kCallTimeout = milliseconds(1000);
// A lost call, and until a call succeeds: the longest back-off and the call.
constexpr base::Duration kLostCallAndRetryTime =
    kCallTimeout + milliseconds(1000);
// The rest of a bound is left for delays in the balancer, such as a slow
// processor or a congested link.
constexpr double kUsableBoundShare = 0.9;
constexpr base::Duration kMinimumPause = milliseconds(200);
// The time to detect, after the wait of a watch, that the watch was lost, and
// to repeat it after the first back-off.
constexpr base::Duration kLostWatchRecoveryTime =
    kCallTimeout + milliseconds(300);

// The bounds on the time without a current reader. A balancer that polls more
// often gains nothing: a change takes longer to reach the reader.
constexpr base::Duration kMinimumFedTime = milliseconds(450);
constexpr base::Duration kMaximumFedTime = milliseconds(2000);
// A poll and its repetition may be lost before the balancer is not fed.
constexpr int kPollsPerFedTime = 3;
constexpr double kBytesPerMegabit = 125'000;
// The rest of the link is left to the packets of callers.
constexpr double kTransferShareOfLink = 0.25;
// With as many data centres, one reader in each leaves two or more when a data
// centre is lost.
constexpr std::size_t kDataCentresForOneReader = 3;
// The part of a bound over which the balancers spread their first calls when
// the readers lose the store.
constexpr double kOutageSpreadShareOfBound = 0.15;
// The first calls of a balancer that is not fed, one for each collection.
constexpr base::Duration kFirstCallsTime = milliseconds(200);
constexpr base::Duration kMaximumReaderPause = milliseconds(1000);
// A call that is lost at the end of an outage.
constexpr base::Duration kLostCallTime = kCallTimeout + milliseconds(100);
// A fleet that starts has the view within this time if a reader and a seed are
// up. Traffic starts seconds later.
constexpr base::Duration kFirstStartPatience = milliseconds(1500);

base::Duration Scale(base::Duration duration, double factor) {
  return std::chrono::duration_cast<base::Duration>(duration * factor);
}

// The time within which a change must be known.
base::Duration BoundOf(const EdgeSettings& settings) {
  const base::Duration bound =
      std::min(settings.m_drain_bound, settings.m_configuration_bound);
  return std::min(bound, settings.m_evacuation_bound.value_or(bound));
}

}  // namespace

catalog::WatcherPolicy MakeWatcherPolicy(const EdgeSettings& settings) {
  catalog::WatcherPolicy policy;
  policy.m_pause_between_watches = std::max(
      Scale(BoundOf(settings), kUsableBoundShare) - kLostCallAndRetryTime,
      kMinimumPause);
  policy.m_watch_wait = std::max(
      settings.m_settling_time - kLostWatchRecoveryTime, kMinimumPause);
  return policy;
}

catalog::WatcherPolicy MakeReaderPolicy(const EdgeSettings& settings) {
  catalog::WatcherPolicy policy = MakeWatcherPolicy(settings);
  if (!settings.m_feed)
    return policy;
  const feed::FeedSettings feed = MakeFeedSettings(settings);
  const base::Duration delay = feed.m_poll_interval + feed.m_response_timeout;
  policy.m_pause_between_watches =
      std::clamp(policy.m_pause_between_watches - delay, kMinimumPause,
                 kMaximumReaderPause);
  // If the store becomes silent to all readers, the others detect that within
  // the wait, the time until the watch is overdue and a poll, and read the
  // store themselves.
  const base::Duration time_to_read = policy.m_overdue_response +
                                      feed.m_poll_interval +
                                      feed.m_outage_spread + kFirstCallsTime;
  policy.m_watch_wait = std::max(
      std::min(policy.m_watch_wait - delay,
               Scale(BoundOf(settings), kUsableBoundShare) - time_to_read),
      kMinimumPause);
  return policy;
}

catalog::WatcherPolicy MakeFallbackPolicy(const EdgeSettings& settings) {
  catalog::WatcherPolicy policy = MakeReaderPolicy(settings);
  const base::Duration back_off =
      std::max(Scale(settings.m_settling_time, kUsableBoundShare) -
                   kLostCallTime - kFirstCallsTime,
               kMinimumPause);
  policy.m_initial_back_off = back_off;
  policy.m_maximum_back_off = back_off;
  return policy;
}

feed::FeedSettings MakeFeedSettings(const EdgeSettings& settings) {
  feed::FeedSettings feed;
  feed.m_self = settings.m_feed->m_address;
  feed.m_data_centre = settings.m_data_centre;
  feed.m_fleet = settings.m_fleet;
  for (const base::Endpoint seed : settings.m_seeds)
    feed.m_seeds.push_back(seed.m_address);
  feed.m_readers_per_data_centre =
      settings.m_data_centres >= kDataCentresForOneReader ? 1 : 2;
  feed.m_is_seed = settings.m_is_seed;
  if (settings.m_link_mbps > 0)
    feed.m_transfer_bytes_per_second =
        settings.m_link_mbps * kBytesPerMegabit * kTransferShareOfLink;
  feed.m_fed_for =
      std::clamp(MakeWatcherPolicy(settings).m_pause_between_watches,
                 kMinimumFedTime, kMaximumFedTime);
  feed.m_outage_spread = Scale(BoundOf(settings), kOutageSpreadShareOfBound);
  feed.m_poll_interval = feed.m_fed_for / kPollsPerFedTime;
  feed.m_response_timeout =
      std::min(feed.m_response_timeout, feed.m_poll_interval);
  feed.m_start_patience =
      settings.m_is_first_start ? kFirstStartPatience : base::Duration::zero();
  return feed;
}

}  // namespace edge
