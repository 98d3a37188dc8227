// Keeps a balancer's configuration document up to date. The class does no I/O:
// Handle receives events and returns effects; the caller passes in time and
// randomness.
//
// The platform cannot serve a watch for every balancer. Only the first
// balancers of a data centre in rendezvous order, the platform watchers, watch
// the document on the platform. The other balancers learn of a new version from
// the digests of their peers and pull the document from one of these peers.
//
// A balancer without a recent confirmation of its version first requests a
// digest from a platform watcher and later reads the document from the
// platform. The platform confirms a version by a response that shows the
// version as the newest.
//
// The version in force never decreases because of a lagging read or an outdated
// peer. A document that the owner refuses to put in force is not read again,
// and a response of the platform about the refused version confirms nothing.

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
  // The number of balancers of a data centre that watch the document on the
  // platform.
  std::size_t m_platform_watchers = 2;
  // The maximum duration of one watch. A confirmation counts from the start of
  // the watch, so the confirmation of a platform watcher can be as old as this.
  base::Duration m_watch_wait = std::chrono::seconds(1);
  // A balancer that is not a platform watcher requests a digest from a platform
  // watcher after this time without a confirmation, and again every
  // m_digest_request_interval.
  base::Duration m_digest_request_after = std::chrono::milliseconds(2500);
  base::Duration m_digest_request_interval = std::chrono::milliseconds(500);
  // A balancer that is not a platform watcher reads the document from the
  // platform after this time without a confirmation, and again every
  // m_poll_interval.
  base::Duration m_stale_after = std::chrono::seconds(3);
  base::Duration m_poll_interval = std::chrono::seconds(1);
  // The minimum time between the starts of two watches.
  base::Duration m_minimum_spacing = std::chrono::milliseconds(50);
  // The bounds of the delay after a failed read, see BackOff.
  base::Duration m_initial_back_off = std::chrono::milliseconds(100);
  base::Duration m_maximum_back_off = std::chrono::milliseconds(1500);
  // A pull that has not ended after this time has failed.
  base::Duration m_pull_timeout = std::chrono::seconds(1);
  // After a failed pull, or after a peer sent a document that is not newer, no
  // document is pulled from the same peer for this time.
  base::Duration m_pull_retry = std::chrono::milliseconds(200);
};

class ConfigurationWatcher {
 public:
  ConfigurationWatcher(base::BalancerId self,
                       WatcherPolicy policy,
                       base::Random random,
                       base::TimePoint now);

  // Queries.
  // The version in force, or zero if no document is in force.
  base::ConfigurationVersion Version() const { return m_in_force.m_version; }
  // The latest time at which the platform is known to have confirmed the
  // version in force, to this balancer or to a peer. A read from the
  // platform may return an outdated version.
  std::optional<base::TimePoint> ConfirmedAt() const {
    return m_in_force.m_confirmed_at;
  }
  // The highest version known: in force, refused or announced by a peer.
  base::ConfigurationVersion HighestKnownVersion() const;
  // Whether this balancer is a platform watcher.
  bool WatchesPlatform() const;
  // The time at which Handle must receive TimerFired, or nothing.
  std::optional<base::TimePoint> NextDeadline() const;

  // Commands.
  // Handles one event and returns the effects, which must be applied in order.
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

  // The higher of the version in force and the refused version. Only newer
  // versions are read and pulled.
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

  // Ends the read `id` and returns it, or nothing if that read is not open.
  std::optional<Read> EndRead(ReadId id);
  // ScheduleAfterSuccess and ScheduleAfterFailure set the earliest time of the
  // next read, after the last read has succeeded or failed.
  void ScheduleAfterSuccess(const Read& read, base::TimePoint now);
  void ScheduleAfterFailure(base::TimePoint now);
  void Adopt(base::ConfigurationVersion version,
             DocumentBody body,
             base::TimePoint now);
  void RecordConfirmation(std::optional<base::TimePoint> time);
  void ReadIfDue(base::TimePoint now);
  void PullIfDue(base::TimePoint now);
  void RequestDigestIfDue(base::TimePoint now);
  // Returns a random duration from zero to `maximum`.
  base::Duration Jitter(base::Duration maximum);

  base::BalancerId m_self;
  WatcherPolicy m_policy;
  base::Random m_random;
  BackOff m_back_off;
  PeerVersionTable m_peers;
  std::vector<base::BalancerId> m_platform_watchers;

  ConfirmedVersion m_in_force;
  // The version in force before m_in_force. It is restored if the owner refuses
  // the document of m_in_force.
  ConfirmedVersion m_previous;
  // The highest version that the owner refused.
  base::ConfigurationVersion m_refused;
  // The start of the time without a confirmation, for a balancer that is not a
  // platform watcher.
  std::optional<base::TimePoint> m_staleness_starts_at;

  std::optional<Read> m_read;
  std::uint64_t m_next_read_id = 1;
  base::TimePoint m_read_not_before;
  // A random addition to m_policy.m_stale_after.
  base::Duration m_stale_jitter{};
  std::optional<Pull> m_pull;
  base::TimePoint m_digest_request_not_before;
  WatcherEffects m_effects;
};

}  // namespace platform

#endif  // LIBPLATFORM_CONFIGURATION_WATCHER_H_
