// What the lease on the configuration is judged by.

#ifndef SERVICES_COLTSFOOTDALE_LEASE_EVIDENCE_H_
#define SERVICES_COLTSFOOTDALE_LEASE_EVIDENCE_H_

#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibMembership/peer_ack_times.h"

namespace membership {
class Membership;
}  // namespace membership

namespace service {

struct LeaseEvidence {
  // Peers are expected and none has answered within the bound.
  bool m_is_isolated = false;
  membership::PeerAckTimes m_ack_times;
  // When the platform last confirmed the version in force.
  std::optional<base::TimePoint> m_confirmed_at;
  // A greater version than the one in force is known to exist.
  bool m_is_behind = false;
};

// What the peers tell about the version in force; `bound` is how old an answer
// may be.
LeaseEvidence CollectLeaseEvidence(const membership::Membership& membership,
                                   base::Duration maximum_age,
                                   base::TimePoint now);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LEASE_EVIDENCE_H_
