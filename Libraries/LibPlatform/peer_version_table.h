// The configuration versions that peers have in force, as their digests report
// them. The number of peers is bounded.

#ifndef LIBPLATFORM_PEER_VERSION_TABLE_H_
#define LIBPLATFORM_PEER_VERSION_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlatform/watcher_events.h"

namespace platform {

class PeerVersionTable {
 public:
  // Queries.
  base::ConfigurationVersion HighestVersion() const;
  // The latest time at which the platform is known to have confirmed `version`
  // to a peer.
  std::optional<base::TimePoint> ConfirmedAt(
      base::ConfigurationVersion version) const;
  // The earliest time at which a document newer than `version` may be pulled
  // from a peer, or nothing if no peer has one.
  std::optional<base::TimePoint> NextPullTime(
      base::ConfigurationVersion version) const;

  // Commands.
  // Ignores a digest of an unknown peer if the table is full, and a digest with
  // an older version than the peer has reported before.
  void RecordDigest(const PeerDigest& digest, base::TimePoint now);
  // Prevents pulls from `peer` until `time`.
  void DeferPull(base::BalancerId peer, base::TimePoint time);
  // Picks a peer for a pull that is due at `now`, or none. Among the peers with
  // a version above `version` whose pulls are not deferred, picks a random one
  // with the highest version. The random choice spreads the load of a new
  // version over the peers.
  std::optional<PullFromPeer> PickPullSource(base::ConfigurationVersion version,
                                             base::TimePoint now,
                                             base::Random& random);
  // Removes peers without a digest for kPeerLifetime.
  void Expire(base::TimePoint now);

  static constexpr std::size_t kMaximumPeers = 1024;
  static constexpr base::Duration kPeerLifetime = std::chrono::seconds(30);

 private:
  struct Peer {
    base::ConfigurationVersion m_version;
    std::optional<base::TimePoint> m_confirmed_at;
    base::TimePoint m_last_digest_at;
    base::TimePoint m_pull_not_before;
  };

  std::map<base::BalancerId, Peer> m_peers;
};

}  // namespace platform

#endif  // LIBPLATFORM_PEER_VERSION_TABLE_H_
