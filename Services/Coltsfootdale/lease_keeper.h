// Decides until when the configuration in force counts as current. A balancer
// that cannot tell forwards nothing, because an address may have gone to
// another service meanwhile; docs/DESIGN.md section 3 gives the reasons.

#ifndef SERVICES_COLTSFOOTDALE_LEASE_KEEPER_H_
#define SERVICES_COLTSFOOTDALE_LEASE_KEEPER_H_

#include <optional>

#include "LibBase/time.h"

namespace service {

// What the lease is judged by.
struct LeaseEvidence {
  // Peers are expected and none was heard within the bound.
  bool m_is_isolated = false;
  // When the platform last confirmed the version in force.
  std::optional<base::TimePoint> m_confirmed_at;
  // A greater version than the one in force is known to exist.
  bool m_is_behind = false;
};

class LeaseKeeper {
 public:
  // `lease` is the longest time from the evidence to the last packet.
  explicit LeaseKeeper(base::Duration lease) : m_lease(lease) {}

  // How old evidence may be when the lease is renewed.
  base::Duration EvidenceBound() const { return m_lease - RenewalTime(); }

  // Until when packets may be forwarded; nothing if the lease is not renewed.
  std::optional<base::TimePoint> Renew(const LeaseEvidence& evidence,
                                       base::TimePoint now);

 private:
  base::Duration RenewalTime() const { return m_lease / 4; }

  base::Duration m_lease;
  std::optional<base::TimePoint> m_behind_since;
  // Until when the lease was renewed last.
  std::optional<base::TimePoint> m_expires;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LEASE_KEEPER_H_
