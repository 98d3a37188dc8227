// Decides until when the configuration in force counts as current. A balancer
// that cannot tell forwards nothing, because an address may have gone to
// another service meanwhile; docs/DESIGN.md section 3 gives the reasons.
//
// While the lease runs, the answer of any peer renews it. Once it has not been
// renewed for the evidence bound, peers that stood still as well could answer
// alike, so it takes the platform, a peer whose own lease runs, or all peers.

#ifndef SERVICES_COLTSFOOTDALE_CONFIGURATION_LEASE_H_
#define SERVICES_COLTSFOOTDALE_CONFIGURATION_LEASE_H_

#include <optional>

#include "LibBase/time.h"
#include "lease_evidence.h"

namespace service {

class ConfigurationLease {
 public:
  // `lease` is the longest time from the evidence to the last packet.
  explicit ConfigurationLease(base::Duration duration) : m_duration(duration) {}

  // How old evidence may be when the lease is renewed.
  base::Duration MaximumEvidenceAge() const {
    return m_duration - RenewalDuration();
  }

  // Until when packets may be forwarded; nothing if the lease is not renewed.
  std::optional<base::TimePoint> Renew(const LeaseEvidence& evidence,
                                       base::TimePoint now);

 private:
  base::Duration RenewalDuration() const { return m_duration / 4; }
  bool IsFresh(std::optional<base::TimePoint> time, base::TimePoint now) const;
  bool IsConfirmedCurrent(const LeaseEvidence& evidence,
                          base::TimePoint now) const;

  base::Duration m_duration;
  std::optional<base::TimePoint> m_behind_since;
  std::optional<base::TimePoint> m_renewed_at;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_CONFIGURATION_LEASE_H_
