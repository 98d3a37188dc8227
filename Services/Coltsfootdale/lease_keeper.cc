#include "lease_keeper.h"

namespace service {

std::optional<base::TimePoint> LeaseKeeper::Renew(const LeaseEvidence& evidence,
                                                  base::TimePoint now) {
  if (!evidence.m_is_behind)
    m_behind_since.reset();
  else if (!m_behind_since)
    m_behind_since = now;
  // The newer version takes effect here soon or its holder has to be waited
  // for, but not for longer than an address is held.
  if (m_behind_since && now - *m_behind_since > EvidenceBound())
    return std::nullopt;
  const bool is_confirmed = evidence.m_confirmed_at &&
                            now - *evidence.m_confirmed_at < EvidenceBound();
  if (evidence.m_is_isolated && !is_confirmed)
    return std::nullopt;
  // After a lapse the newer version may be in force elsewhere for longer than
  // an address is held.
  const bool has_lapsed = !m_expires || now >= *m_expires;
  if (evidence.m_is_behind && has_lapsed)
    return std::nullopt;
  m_expires = now + RenewalTime();
  return m_expires;
}

}  // namespace service
