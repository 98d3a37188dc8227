// The events that a ConfigurationWatcher handles and the effects that it
// returns.

#ifndef LIBPLATFORM_WATCHER_EVENTS_H_
#define LIBPLATFORM_WATCHER_EVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/strong_id.h"
#include "LibBase/time.h"

namespace platform {

// The text of a configuration document.
using DocumentBody = std::shared_ptr<const std::string>;

// Identifies one read of the document from the platform.
using ReadId = base::StrongId<struct ReadIdTag, std::uint64_t>;

// The data for a lower bound, on the receiver's clock, of the time at which the
// platform confirmed a peer's version.
//
// A digest may wait in a socket buffer while its receiver is paused, so m_age
// alone does not bound the age of the confirmation. m_requested_at is the time,
// on the receiver's clock, at which the receiver sent the message that the
// digest answers. The peer made the digest after m_requested_at, so the
// platform confirmed the version no earlier than m_requested_at - m_age.
struct PeerConfirmation {
  base::TimePoint m_requested_at;
  base::Duration m_age;
};

// Events.

// The other live balancers of this balancer's data centre have changed.
struct LivePeersChanged {
  std::vector<base::BalancerId> m_peers;
};
// A peer of any data centre reports the version that the peer has in force. The
// digest has no confirmation if it answers no message of this balancer, or if
// the peer has no confirmation.
struct PeerDigest {
  base::BalancerId m_peer;
  base::ConfigurationVersion m_version;
  std::optional<PeerConfirmation> m_confirmation;
};
// Another source, such as membership, shows that the platform confirmed this
// version at m_confirmed_at or later.
struct VersionConfirmed {
  base::ConfigurationVersion m_version;
  base::TimePoint m_confirmed_at;
};
// The results of PullFromPeer.
struct PeerDocument {
  base::BalancerId m_peer;
  base::ConfigurationVersion m_version;
  DocumentBody m_body;
};
struct PeerPullFailed {
  base::BalancerId m_peer;
};
// The results of ReadFromPlatform.
struct PlatformDocument {
  ReadId m_read;
  base::ConfigurationVersion m_version;
  DocumentBody m_body;
};
// The platform has no version newer than the read's m_newer_than.
struct PlatformUnchanged {
  ReadId m_read;
};
// The platform is down, refuses the read because of its rate limit or has no
// document.
struct PlatformFailed {
  ReadId m_read;
};
// The owner could not put the document of AdoptDocument in force. The previous
// document stays in force.
struct DocumentRefused {
  base::ConfigurationVersion m_version;
};
// The time of ConfigurationWatcher::NextDeadline is reached.
struct TimerFired {};

using WatcherEvent = std::variant<LivePeersChanged,
                                  PeerDigest,
                                  VersionConfirmed,
                                  PeerDocument,
                                  PeerPullFailed,
                                  PlatformDocument,
                                  PlatformUnchanged,
                                  PlatformFailed,
                                  DocumentRefused,
                                  TimerFired>;

// Effects.

// Read the document from the platform, waiting up to m_wait for a version newer
// than m_newer_than. The driver must report exactly one result, unless the read
// is cancelled.
struct ReadFromPlatform {
  ReadId m_read;
  base::ConfigurationVersion m_newer_than;
  base::Duration m_wait;
};
struct CancelRead {
  ReadId m_read;
};
// Request the document from the peer, which has reported m_version. The driver
// must report PeerDocument or PeerPullFailed.
struct PullFromPeer {
  base::BalancerId m_peer;
  base::ConfigurationVersion m_version;
};
// Send the peer a message that the peer answers with its digest. The digest
// shows the age of the peer's confirmation.
struct RequestDigest {
  base::BalancerId m_peer;
};
// Put this version in force, or report DocumentRefused.
struct AdoptDocument {
  base::ConfigurationVersion m_version;
  DocumentBody m_body;
};

using WatcherEffect = std::variant<ReadFromPlatform,
                                   CancelRead,
                                   PullFromPeer,
                                   RequestDigest,
                                   AdoptDocument>;
using WatcherEffects = std::vector<WatcherEffect>;

}  // namespace platform

#endif  // LIBPLATFORM_WATCHER_EVENTS_H_
