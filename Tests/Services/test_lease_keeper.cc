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

  CHECK_FALSE(keeper.Renew(kBehind, thawed));
  CHECK(keeper.Renew(kCurrent, thawed + milliseconds(50)));
}
