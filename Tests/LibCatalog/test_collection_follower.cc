#include <doctest/doctest.h>

#include <chrono>
#include <variant>

#include "LibCatalog/collection_follower.h"

namespace catalog {

namespace {

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

CollectionFollower MakeFollower() {
  return {FollowerPolicy(), base::Random(1), At(0)};
}

// Lists one page at revision 5; the follower watches from there.
CollectionFollower MakeListedFollower() {
  CollectionFollower follower = MakeFollower();
  follower.TakeCall(At(0));
  follower.HandleResult(PageAnswer{Revision(5)}, At(4));
  return follower;
}

}  // namespace

TEST_CASE(
    "all pages are listed, and the watch begins at the first one's "
    "revision") {
  CollectionFollower follower = MakeFollower();
  const auto first = follower.TakeCall(At(0));
  REQUIRE(first);
  CHECK(std::get<ListCall>(*first).m_after.empty());
  auto outcome =
      follower.HandleResult(PageAnswer{Revision(5), true, "i-50"}, At(4));
  CHECK(outcome.m_step == FollowerStep::kNone);

  const auto second = follower.TakeCall(At(4));
  REQUIRE(second);
  CHECK(std::get<ListCall>(*second).m_after == "i-50");
  outcome = follower.HandleResult(PageAnswer{Revision(8)}, At(8));
  CHECK(outcome.m_step == FollowerStep::kListed);

  const auto watch = follower.TakeCall(At(8));
  REQUIRE(watch);
  CHECK(std::get<WatchCall>(*watch).m_since == Revision(5));
}

TEST_CASE("one call is open at a time") {
  CollectionFollower follower = MakeFollower();
  REQUIRE(follower.TakeCall(At(0)));

  CHECK_FALSE(follower.TakeCall(At(0)));
}

TEST_CASE(
    "after changes the next watch waits for the pause, after a wait in "
    "vain it does not") {
  CollectionFollower follower = MakeListedFollower();
  follower.TakeCall(At(4));
  CHECK(follower.HandleResult(ChangesAnswer{Revision(6)}, At(10)).m_step ==
        FollowerStep::kChanged);
  CHECK_FALSE(follower.TakeCall(At(809)));
  REQUIRE(follower.TakeCall(At(810)));

  follower.HandleResult(ChangesAnswer{Revision(6)}, At(4810));
  CHECK(follower.TakeCall(At(4810)));
}

TEST_CASE("a lost history leads to a list at once, and is no outage") {
  CollectionFollower follower = MakeListedFollower();
  follower.TakeCall(At(4));
  const auto outcome =
      follower.HandleResult(CallFailure::kHistoryGone, At(100));

  CHECK_FALSE(outcome.m_is_lost);
  const auto call = follower.TakeCall(At(100));
  REQUIRE(call);
  CHECK(std::holds_alternative<ListCall>(*call));
}

TEST_CASE("failures back off, and their start and end are told once") {
  CollectionFollower follower = MakeListedFollower();
  follower.TakeCall(At(4));
  CHECK(follower.HandleResult(CallFailure::kTimedOut, At(1000)).m_is_lost);
  CHECK(follower.NextCallAt() > At(1000));
  CHECK(follower.NextCallAt() <= At(1100));

  follower.TakeCall(At(1100));
  CHECK_FALSE(
      follower.HandleResult(CallFailure::kUnavailable, At(1101)).m_is_lost);
  CHECK(follower.FailingSince() == At(1000));
  for (int i = 0; i < 10; ++i) {
    follower.TakeCall(follower.NextCallAt());
    follower.HandleResult(CallFailure::kOverRate, At(5000));
  }
  CHECK(follower.NextCallAt() <= At(5800));

  follower.TakeCall(At(6000));
  const auto outcome =
      follower.HandleResult(ChangesAnswer{Revision(6)}, At(6004));
  CHECK(outcome.m_is_regained);
  CHECK_FALSE(follower.FailingSince());
}

TEST_CASE("an answer that came much too late means that the store was away") {
  CollectionFollower follower = MakeListedFollower();
  follower.TakeCall(At(4));
  const auto outcome =
      follower.HandleResult(ChangesAnswer{Revision(6)}, At(4700));

  CHECK(outcome.m_is_lost);
  CHECK(outcome.m_is_regained);
}

TEST_CASE("a watch does not hang on in an outage that may be over") {
  CollectionFollower follower = MakeListedFollower();
  follower.TakeCall(At(4));
  follower.HandleResult(CallFailure::kTimedOut, At(5000));

  const auto retry = follower.TakeCall(At(5100));
  REQUIRE(retry);
  CHECK(std::get<WatchCall>(*retry).m_wait <= std::chrono::milliseconds(200));

  follower.HandleResult(ChangesAnswer{Revision(6)}, At(5110));
  const auto next = follower.TakeCall(At(6000));
  REQUIRE(next);
  CHECK(std::get<WatchCall>(*next).m_wait == FollowerPolicy().m_watch_wait);
}

TEST_CASE("a list that lags behind what is known is not taken") {
  CollectionFollower follower = MakeListedFollower();
  follower.TakeCall(At(4));
  follower.HandleResult(CallFailure::kHistoryGone, At(10));
  follower.TakeCall(At(10));

  const auto outcome = follower.HandleResult(PageAnswer{Revision(4)}, At(14));

  CHECK(outcome.m_step == FollowerStep::kNone);
  CHECK(follower.KnownRevision() == Revision(5));
  const auto call = follower.TakeCall(At(200));
  REQUIRE(call);
  CHECK(std::holds_alternative<ListCall>(*call));
}

TEST_CASE("what a peer has read is taken over only if it is newer") {
  CollectionFollower follower = MakeListedFollower();

  CHECK_FALSE(follower.AdoptRevision(Revision(5)));
  CHECK(follower.AdoptRevision(Revision(9)));
  const auto call = follower.TakeCall(At(10));
  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_since == Revision(9));
}

}  // namespace catalog
