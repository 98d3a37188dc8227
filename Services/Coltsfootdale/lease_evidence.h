// The evidence that decides whether the lease on the configuration is renewed.

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
  // Peers are expected, and none has acknowledged a ping that was sent within
  // the maximum age.
  bool m_is_isolated = false;
  // When the peers last acknowledged pings.
  membership::PeerAckTimes m_ack_times;
  // When the platform last confirmed the version in force, to this balancer or
  // to a peer.
  std::optional<base::TimePoint> m_confirmed_at;
  // A version greater than the one in force is known to exist.
  bool m_is_behind = false;
};

// Collects the evidence that `membership` has about the version in force.
// `maximum_age` applies to m_is_isolated only; ConfigurationLease checks the
// age of the times.
LeaseEvidence CollectLeaseEvidence(const membership::Membership& membership,
                                   base::Duration maximum_age,
                                   base::TimePoint now);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LEASE_EVIDENCE_H_
