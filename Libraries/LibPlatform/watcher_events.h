// The events that a ConfigurationFollower takes and the effects that it asks
// for.

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

// One question to the platform.
using ReadId = base::StrongId<struct ReadIdTag, std::uint64_t>;

// How long ago, at the latest, the platform confirmed a peer's version.
//
// A digest may wait in a socket buffer while its receiver is paused, so its
// age alone proves nothing. m_requested_at is the receiver's own time at which
// it sent the message that the digest answers: the digest was made after it,
// and the platform confirmed the version no earlier than m_requested_at -
// m_age.
struct PeerConfirmation {
  base::TimePoint m_requested_at;
  base::Duration m_age;
};

// Events.

// The other live balancers of the own data centre.
struct LivePeersChanged {
  std::vector<base::BalancerId> m_peers;
};
// A peer of any data centre tells which version it has in force. A digest that
// answers no message of ours, or of a peer that lacks a confirmation, has none.
struct PeerDigest {
  base::BalancerId m_peer;
  base::ConfigurationVersion m_version;
  std::optional<PeerConfirmation> m_confirmation;
};
// It is known from elsewhere, as from membership, that the platform confirmed
// this version at this time or later.
struct VersionConfirmed {
  base::ConfigurationVersion m_version;
  base::TimePoint m_confirmed_at;
};
// The document that PullFromPeer asked for.
struct PeerDocument {
  base::BalancerId m_peer;
  base::ConfigurationVersion m_version;
  DocumentBody m_body;
};
struct PeerPullFailed {
  base::BalancerId m_peer;
};
// Answers to ReadFromPlatform.
struct PlatformDocument {
  ReadId m_read;
  base::ConfigurationVersion m_version;
  DocumentBody m_body;
};
// There is nothing newer than the version of the question.
struct PlatformUnchanged {
  ReadId m_read;
};
// The platform is down, over its rate, or holds no document.
struct PlatformFailed {
  ReadId m_read;
};
// The owner could not put the document of AdoptDocument in force; the former
// one stays.
struct DocumentRefused {
  base::ConfigurationVersion m_version;
};
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

// Read the document if it is newer than m_newer_than, waiting up to m_wait for
// one that is. Must be answered by one event, unless it is cancelled.
struct ReadFromPlatform {
  ReadId m_read;
  base::ConfigurationVersion m_newer_than;
  base::Duration m_wait;
};
struct CancelRead {
  ReadId m_read;
};
struct PullFromPeer {
  base::BalancerId m_peer;
  base::ConfigurationVersion m_version;
};
// Send the peer a message that its digest answers, to learn how fresh it is.
struct RequestDigest {
  base::BalancerId m_peer;
};
// Put this version in force, or answer with DocumentRefused.
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
