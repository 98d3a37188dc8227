#include <doctest/doctest.h>

#include <chrono>

#include "configuration_lease.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr service::LeaseEvidence kCurrent{};
constexpr service::LeaseEvidence kBehind{.m_is_behind = true};

}  // namespace

TEST_CASE(
    "a lease is renewed for a bounded time while a newer version is known") {
  service::ConfigurationLease lease(seconds(2));
  const base::TimePoint start;
  REQUIRE(lease.Renew(kCurrent, start));

  CHECK(lease.Renew(kBehind, start + milliseconds(50)));
  CHECK_FALSE(lease.Renew(
      kBehind,
      start + milliseconds(50) + lease.MaximumEvidenceAge() + milliseconds(1)));
}

TEST_CASE("an expired lease is not renewed while a newer version is known") {
  service::ConfigurationLease lease(seconds(2));
  const base::TimePoint start;
  REQUIRE(lease.Renew(kCurrent, start));
  const base::TimePoint resumed_at = start + seconds(5);

  CHECK_FALSE(lease.Renew({.m_confirmed_at = resumed_at, .m_is_behind = true},
                          resumed_at));
  CHECK(lease.Renew({.m_confirmed_at = resumed_at},
                    resumed_at + milliseconds(50)));
}

TEST_CASE(
    "a lease that expired in a pause is renewed only by evidence from after "
    "it") {
  const base::TimePoint start;
  const base::TimePoint resumed_at = start + seconds(5);
  const auto renew = [&](const service::LeaseEvidence& evidence) {
    service::ConfigurationLease lease(seconds(2));
    REQUIRE(lease.Renew(kCurrent, start));
    return lease.Renew(evidence, resumed_at + milliseconds(50)).has_value();
  };
  using AckTimes = membership::PeerAckTimes;

  CHECK_FALSE(renew({}));
  CHECK_FALSE(renew({.m_confirmed_at = start}));
  CHECK_FALSE(renew({.m_ack_times = AckTimes{.m_has_expected_peers = true}}));
  CHECK_FALSE(renew({.m_ack_times = AckTimes{.m_has_expected_peers = true,
                                             .m_from_lease_holder = start,
                                             .m_from_all_peers = start}}));
  CHECK(renew({.m_is_isolated = true, .m_confirmed_at = resumed_at}));
  CHECK(renew({.m_ack_times = AckTimes{.m_has_expected_peers = true,
                                       .m_from_lease_holder = resumed_at}}));
  CHECK(renew({.m_ack_times = AckTimes{.m_has_expected_peers = true,
                                       .m_from_all_peers = resumed_at}}));
}
