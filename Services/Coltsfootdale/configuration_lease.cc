#include "configuration_lease.h"

namespace service {

std::optional<base::TimePoint> ConfigurationLease::Renew(
    const LeaseEvidence& evidence,
    base::TimePoint now) {
  if (!evidence.m_is_behind)
    m_behind_since.reset();
  else if (!m_behind_since)
    m_behind_since = now;
  // A newer version is known and will be applied here soon, or its holder
  // cannot be reached yet. The wait is bounded, because an address is held only
  // for a limited time before another service gets it.
  if (m_behind_since && now - *m_behind_since > MaximumEvidenceAge())
    return std::nullopt;
  // Once the lease has expired, the newer version may have been in force
  // elsewhere for longer than an address is held.
  const bool has_expired =
      !m_renewed_at || now - *m_renewed_at >= RenewalDuration();
  if (evidence.m_is_behind && has_expired)
    return std::nullopt;
  if (!IsConfirmedCurrent(evidence, now))
    return std::nullopt;
  m_renewed_at = now;
  return now + RenewalDuration();
}

bool ConfigurationLease::IsFresh(std::optional<base::TimePoint> time,
                                 base::TimePoint now) const {
  return time && now - *time < MaximumEvidenceAge();
}

bool ConfigurationLease::IsConfirmedCurrent(const LeaseEvidence& evidence,
                                            base::TimePoint now) const {
  if (IsFresh(evidence.m_confirmed_at, now))
    return true;
  if (IsFresh(m_renewed_at, now))
    return !evidence.m_is_isolated;
  // A balancer that has never held a lease and expects no peers has none that
  // could confirm its version.
  if (!evidence.m_ack_times.m_has_expected_peers && !m_renewed_at)
    return true;
  return IsFresh(evidence.m_ack_times.m_from_lease_holder, now) ||
         IsFresh(evidence.m_ack_times.m_from_all_peers, now);
}

}  // namespace service
