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
  return now + RenewalTime();
}

}  // namespace service
