#include "lease_evidence.h"

#include "LibMembership/membership.h"

namespace service {

LeaseEvidence CollectLeaseEvidence(const membership::Membership& membership,
                                   base::Duration maximum_age,
                                   base::TimePoint now) {
  const membership::NewestConfiguration newest =
      membership.NewestKnownConfiguration(now);
  const base::ConfigurationVersion in_force =
      membership.Self().m_configuration.m_version;
  LeaseEvidence evidence{
      .m_is_isolated = membership.IsIsolated(now, maximum_age),
      .m_ack_times = membership.LatestAckTimes(),
      .m_is_behind = newest.m_version > in_force};
  if (newest.m_confirmation_age)
    evidence.m_confirmed_at = now - *newest.m_confirmation_age;
  return evidence;
}

}  // namespace service
