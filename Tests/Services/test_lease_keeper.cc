#include <doctest/doctest.h>

#include <chrono>

#include "lease_keeper.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr service::LeaseEvidence kCurrent{};
constexpr service::LeaseEvidence kBehind{.m_is_behind = true};

}  // namespace

TEST_CASE("a lease runs on for a bounded time while a version is awaited") {
  service::LeaseKeeper keeper(seconds(2));
  const base::TimePoint start;
  REQUIRE(keeper.Renew(kCurrent, start));

  CHECK(keeper.Renew(kBehind, start + milliseconds(50)));
  CHECK_FALSE(keeper.Renew(
      kBehind,
      start + milliseconds(50) + keeper.EvidenceBound() + milliseconds(1)));
}

TEST_CASE("a lapsed lease is not renewed while a newer version is known") {
  service::LeaseKeeper keeper(seconds(2));
  const base::TimePoint start;
  REQUIRE(keeper.Renew(kCurrent, start));
  const base::TimePoint thawed = start + seconds(5);

  CHECK_FALSE(
      keeper.Renew({.m_confirmed_at = thawed, .m_is_behind = true}, thawed));
  CHECK(keeper.Renew({.m_confirmed_at = thawed}, thawed + milliseconds(50)));
}

TEST_CASE("a lapsed lease is renewed by what was asked after the thaw only") {
  const base::TimePoint start;
  const base::TimePoint thawed = start + seconds(5);
  const auto renew = [&](const service::LeaseEvidence& evidence) {
    service::LeaseKeeper keeper(seconds(2));
    REQUIRE(keeper.Renew(kCurrent, start));
    return keeper.Renew(evidence, thawed + milliseconds(50)).has_value();
  };
  using Answers = membership::PeerAckTimes;

  CHECK_FALSE(renew({}));
  CHECK_FALSE(renew({.m_confirmed_at = start}));
  CHECK_FALSE(renew({.m_answers = Answers{.m_has_expected_peers = true}}));
  CHECK_FALSE(renew({.m_answers = Answers{.m_has_expected_peers = true,
                                          .m_from_lease_holder = start,
                                          .m_from_all_peers = start}}));
  CHECK(renew({.m_is_isolated = true, .m_confirmed_at = thawed}));
  CHECK(renew({.m_answers = Answers{.m_has_expected_peers = true,
                                    .m_from_lease_holder = thawed}}));
  CHECK(renew({.m_answers = Answers{.m_has_expected_peers = true,
                                    .m_from_all_peers = thawed}}));
}
