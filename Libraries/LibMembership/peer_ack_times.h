// The latest Acks of the peers as evidence about the configuration in force
// here. Each time is that at which the acknowledged ping was sent, because an
// Ack may have waited in a queue.

#ifndef LIBMEMBERSHIP_PEER_ACK_TIMES_H_
#define LIBMEMBERSHIP_PEER_ACK_TIMES_H_

#include <optional>

#include "LibBase/time.h"

namespace membership {

struct PeerAckTimes {
  // Whether any peer has served and has not left.
  bool m_has_expected_peers = false;
  // The latest Ack of a peer that held its configuration lease and had the
  // version in force here.
  std::optional<base::TimePoint> m_from_lease_holder;
  // The time since which every expected peer has sent an Ack; nullopt if an
  // expected peer never has, or if no peer is expected.
  std::optional<base::TimePoint> m_from_all_peers;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PEER_ACK_TIMES_H_
