// Decides how a balancer follows the configuration document. Free of I/O:
// events in, effects out; time and randomness are passed in.
//
// The platform can't hold a watch for every balancer, so only the first
// balancers of a data centre in rendezvous order watch the document; the
// others learn of a new version from the digests of their peers and pull it
// from one of them. A balancer that has gone without a confirmation for too
// long asks a watcher, and at last the platform itself. Versions only grow,
// whatever a lagging read or an old peer says. A document that the owner
// refuses to put in force is not asked for again, and what the platform says of
// it confirms nothing.

#ifndef LIBPLATFORM_CONFIGURATION_WATCHER_H_
#define LIBPLATFORM_CONFIGURATION_WATCHER_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlatform/back_off.h"
#include "LibPlatform/peer_version_table.h"
#include "LibPlatform/watcher_events.h"

namespace platform {

struct WatcherPolicy {
  // How many balancers of a data centre watch the document.
  std::size_t m_platform_watchers = 2;
  // How long one watch waits. A confirmation counts from the start of the
  // call, so this bounds how fresh a watcher can be.
  base::Duration m_watch_wait = std::chrono::seconds(1);
  // A balancer that does not watch asks a watcher after this time without a
  // confirmation, and again every m_digest_request_interval.
  base::Duration m_digest_request_after = std::chrono::milliseconds(2500);
  base::Duration m_digest_request_interval = std::chrono::milliseconds(500);
  // It asks the platform after this time without a confirmation, and again
  // every m_poll_interval.
  base::Duration m_stale_after = std::chrono::seconds(3);
  base::Duration m_poll_interval = std::chrono::seconds(1);
  // The least time between the starts of two questions.
  base::Duration m_minimum_spacing = std::chrono::milliseconds(50);
  base::Duration m_initial_back_off = std::chrono::milliseconds(100);
  base::Duration m_maximum_back_off = std::chrono::milliseconds(1500);
  // A pull that has not ended after this time is given up.
  base::Duration m_pull_timeout = std::chrono::seconds(1);
  // A peer is not pulled from again for this time after a failure.
  base::Duration m_pull_retry = std::chrono::milliseconds(200);
};

class ConfigurationWatcher {
 public:
  ConfigurationWatcher(base::BalancerId self,
                       WatcherPolicy policy,
                       base::Random random,
                       base::TimePoint now);

  // Queries.
  // The version in force; zero if none.
  base::ConfigurationVersion Version() const { return m_in_force.m_version; }
  // The latest time at which the platform is known to have confirmed the
  // version in force, to this balancer or to a peer. A read of the platform
  // may itself lag.
  std::optional<base::TimePoint> ConfirmedAt() const {
    return m_in_force.m_confirmed_at;
  }
  // The highest version that is known to exist.
  base::ConfigurationVersion HighestKnownVersion() const;
  bool WatchesPlatform() const;
  // When Handle wants a TimerFired, or nothing.
  std::optional<base::TimePoint> NextDeadline() const;

  // Commands.
  WatcherEffects Handle(const WatcherEvent& event, base::TimePoint now);

 private:
  struct ConfirmedVersion {
    base::ConfigurationVersion m_version;
    std::optional<base::TimePoint> m_confirmed_at;
  };
  struct Read {
    ReadId m_id;
    base::ConfigurationVersion m_newer_than;
    base::TimePoint m_requested_at;
    bool m_is_watch = false;
  };
  struct Pull {
    base::BalancerId m_peer;
    base::TimePoint m_deadline;
  };

  // The greatest version that need not be asked for: in force or refused.
  base::ConfigurationVersion HighestProcessedVersion() const;
  std::optional<base::TimePoint> NextReadTime() const;
  std::optional<base::TimePoint> NextPullTime() const;
  std::optional<base::TimePoint> NextDigestRequestTime() const;
  std::vector<base::BalancerId> ChoosePlatformWatchers(
      std::vector<base::BalancerId> peers) const;

  void OnLivePeers(const LivePeersChanged& event);
  void OnDigest(const PeerDigest& digest, base::TimePoint now);
  void OnConfirmed(const VersionConfirmed& confirmation, base::TimePoint now);
  void OnPeerDocument(const PeerDocument& document, base::TimePoint now);
  void OnPullFailed(base::BalancerId peer, base::TimePoint now);
  void OnPlatformDocument(const PlatformDocument& document,
                          base::TimePoint now);
  void OnUnchanged(ReadId id, base::TimePoint now);
  void OnRefused(const DocumentRefused& refusal, base::TimePoint now);
  void OnPlatformFailed(ReadId id, base::TimePoint now);

  // Ends the question `id` and returns it, or nothing if it is not open.
  std::optional<Read> EndRead(ReadId id);
  void ScheduleAfterSuccess(const Read& read, base::TimePoint now);
  void ScheduleAfterFailure(base::TimePoint now);
  void Adopt(base::ConfigurationVersion version,
             DocumentBody body,
             base::TimePoint now);
  void RecordConfirmation(std::optional<base::TimePoint> time);
  void ReadIfDue(base::TimePoint now);
  void PullIfDue(base::TimePoint now);
  void RequestDigestIfDue(base::TimePoint now);
  base::Duration Jitter(base::Duration maximum);

  base::BalancerId m_self;
  WatcherPolicy m_policy;
  base::Random m_random;
  BackOff m_back_off;
  PeerVersionTable m_peers;
  std::vector<base::BalancerId> m_platform_watchers;

  ConfirmedVersion m_in_force;
  // What was in force before, for the case that the owner refuses.
  ConfirmedVersion m_previous;
  base::ConfigurationVersion m_refused;
  // A balancer that does not watch counts staleness from here.
  std::optional<base::TimePoint> m_staleness_starts_at;

  std::optional<Read> m_read;
  std::uint64_t m_next_read_id = 1;
  base::TimePoint m_read_not_before;
  base::Duration m_stale_jitter{};
  std::optional<Pull> m_pull;
  base::TimePoint m_digest_request_not_before;
  WatcherEffects m_effects;
};

}  // namespace platform

#endif  // LIBPLATFORM_CONFIGURATION_WATCHER_H_
