// The lease on the configuration in force: until when the configuration counts
// as current. A balancer whose lease is expired forwards nothing, because a
// newer version may have assigned an address to another service; docs/DESIGN.md
// section 3 gives the reasons.
//
// While the lease runs, a reply of any peer renews it. Once the lease has not
// been renewed for the maximum evidence age, peers that were paused as well
// could confirm an outdated version. Then only the platform, a peer whose own
// lease runs, or all peers together can renew it.

#ifndef SERVICES_COLTSFOOTDALE_CONFIGURATION_LEASE_H_
#define SERVICES_COLTSFOOTDALE_CONFIGURATION_LEASE_H_

#include <optional>

#include "LibBase/time.h"
#include "lease_evidence.h"

namespace service {

class ConfigurationLease {
 public:
  // `duration` is the maximum time from the evidence to the last packet that is
  // forwarded because of it.
  explicit ConfigurationLease(base::Duration duration) : m_duration(duration) {}

  // The maximum age of the evidence that renews the lease.
  base::Duration MaximumEvidenceAge() const {
    return m_duration - RenewalDuration();
  }

  // Returns the time until which packets may be forwarded, or nothing if the
  // evidence does not renew the lease.
  std::optional<base::TimePoint> Renew(const LeaseEvidence& evidence,
                                       base::TimePoint now);

 private:
  // The time for which one renewal extends the lease.
  base::Duration RenewalDuration() const { return m_duration / 4; }
  // Whether `time` is less than the maximum evidence age before `now`.
  bool IsFresh(std::optional<base::TimePoint> time, base::TimePoint now) const;
  // Whether the evidence shows that the version in force is still the newest.
  bool IsConfirmedCurrent(const LeaseEvidence& evidence,
                          base::TimePoint now) const;

  base::Duration m_duration;
  // Since when a newer version is known, without interruption.
  std::optional<base::TimePoint> m_behind_since;
  std::optional<base::TimePoint> m_renewed_at;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_CONFIGURATION_LEASE_H_
