// What the answers of the peers prove about the configuration in force here.
// All times are those at which the answered pings were sent, so that answers
// that waited in a queue prove nothing fresh.

#ifndef LIBMEMBERSHIP_PEER_ACK_TIMES_H_
#define LIBMEMBERSHIP_PEER_ACK_TIMES_H_

#include <optional>

#include "LibBase/time.h"

namespace membership {

struct PeerAckTimes {
  // Peers served and have not left.
  bool m_has_expected_peers = false;
  // The latest answer of a peer that held its lease and had the same version
  // in force.
  std::optional<base::TimePoint> m_from_lease_holder;
  // The time since which every expected peer has answered; nothing if one has
  // not or none is expected.
  std::optional<base::TimePoint> m_from_all_peers;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PEER_ACK_TIMES_H_
