#include <doctest/doctest.h>

#include <chrono>
#include <variant>

#include "LibCatalog/collection_watcher.h"

namespace catalog {

namespace {

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

CollectionWatcher MakeFollower() {
  return {WatcherPolicy(), base::Random(1), At(0)};
}

// Lists one page at revision 5; the follower watches from there.
CollectionWatcher MakeListedFollower() {
  CollectionWatcher follower = MakeFollower();
  follower.StartDueCall(At(0));
  follower.HandleResult(PageResponse{Revision(5)}, At(4));
  return follower;
}

}  // namespace

TEST_CASE(
    "all pages are listed, and the watch begins at the first one's "
    "revision") {
  CollectionWatcher follower = MakeFollower();
  const auto first = follower.StartDueCall(At(0));
  REQUIRE(first);
  CHECK(std::get<ListCall>(*first).m_after.empty());
  auto outcome =
      follower.HandleResult(PageResponse{Revision(5), true, "i-50"}, At(4));
  CHECK(outcome.m_update == CollectionUpdate::kNone);

  const auto second = follower.StartDueCall(At(4));
  REQUIRE(second);
  CHECK(std::get<ListCall>(*second).m_after == "i-50");
  outcome = follower.HandleResult(PageResponse{Revision(8)}, At(8));
  CHECK(outcome.m_update == CollectionUpdate::kListComplete);

  const auto watch = follower.StartDueCall(At(8));
  REQUIRE(watch);
  CHECK(std::get<WatchCall>(*watch).m_since == Revision(5));
}

TEST_CASE("one call is open at a time") {
  CollectionWatcher follower = MakeFollower();
  REQUIRE(follower.StartDueCall(At(0)));

  CHECK_FALSE(follower.StartDueCall(At(0)));
}

TEST_CASE(
    "after changes the next watch waits for the pause, after a wait in "
    "vain it does not") {
  CollectionWatcher follower = MakeListedFollower();
  follower.StartDueCall(At(4));
  CHECK(follower.HandleResult(ChangesResponse{Revision(6)}, At(10)).m_update ==
        CollectionUpdate::kChanged);
  CHECK_FALSE(follower.StartDueCall(At(809)));
  REQUIRE(follower.StartDueCall(At(810)));

  follower.HandleResult(ChangesResponse{Revision(6)}, At(4810));
  CHECK(follower.StartDueCall(At(4810)));
}

TEST_CASE("a lost history leads to a list at once, and is no outage") {
  CollectionWatcher follower = MakeListedFollower();
  follower.StartDueCall(At(4));
  const auto outcome =
      follower.HandleResult(CallFailure::kHistoryGone, At(100));

  CHECK_FALSE(outcome.m_is_store_lost);
  const auto call = follower.StartDueCall(At(100));
  REQUIRE(call);
  CHECK(std::holds_alternative<ListCall>(*call));
}

TEST_CASE("failures back off, and their start and end are told once") {
  CollectionWatcher follower = MakeListedFollower();
  follower.StartDueCall(At(4));
  CHECK(
      follower.HandleResult(CallFailure::kTimedOut, At(1000)).m_is_store_lost);
  CHECK(follower.NextCallAt() > At(1000));
  CHECK(follower.NextCallAt() <= At(1100));

  follower.StartDueCall(At(1100));
  CHECK_FALSE(follower.HandleResult(CallFailure::kUnavailable, At(1101))
                  .m_is_store_lost);
  CHECK(follower.FailingSince() == At(1000));
  for (int i = 0; i < 10; ++i) {
    follower.StartDueCall(follower.NextCallAt());
    follower.HandleResult(CallFailure::kOverRate, At(5000));
  }
  CHECK(follower.NextCallAt() <= At(5800));

  follower.StartDueCall(At(6000));
  const auto outcome =
      follower.HandleResult(ChangesResponse{Revision(6)}, At(6004));
  CHECK(outcome.m_is_store_regained);
  CHECK_FALSE(follower.FailingSince());
}

TEST_CASE("an answer that came much too late means that the store was away") {
  CollectionWatcher follower = MakeListedFollower();
  follower.StartDueCall(At(4));
  const auto outcome =
      follower.HandleResult(ChangesResponse{Revision(6)}, At(4700));

  CHECK(outcome.m_is_store_lost);
  CHECK(outcome.m_is_store_regained);
}

TEST_CASE("a watch does not hang on in an outage that may be over") {
  CollectionWatcher follower = MakeListedFollower();
  follower.StartDueCall(At(4));
  follower.HandleResult(CallFailure::kTimedOut, At(5000));

  const auto retry = follower.StartDueCall(At(5100));
  REQUIRE(retry);
  CHECK(std::get<WatchCall>(*retry).m_wait <= std::chrono::milliseconds(200));

  follower.HandleResult(ChangesResponse{Revision(6)}, At(5110));
  const auto next = follower.StartDueCall(At(6000));
  REQUIRE(next);
  CHECK(std::get<WatchCall>(*next).m_wait == WatcherPolicy().m_watch_wait);
}

TEST_CASE("a list that lags behind what is known is not taken") {
  CollectionWatcher follower = MakeListedFollower();
  follower.StartDueCall(At(4));
  follower.HandleResult(CallFailure::kHistoryGone, At(10));
  follower.StartDueCall(At(10));

  const auto outcome = follower.HandleResult(PageResponse{Revision(4)}, At(14));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(follower.KnownRevision() == Revision(5));
  const auto call = follower.StartDueCall(At(200));
  REQUIRE(call);
  CHECK(std::holds_alternative<ListCall>(*call));
}

TEST_CASE("what a peer has read is taken over only if it is newer") {
  CollectionWatcher follower = MakeListedFollower();

  CHECK_FALSE(follower.AdoptRevision(Revision(5)));
  CHECK(follower.AdoptRevision(Revision(9)));
  const auto call = follower.StartDueCall(At(10));
  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_since == Revision(9));
}

}  // namespace catalog
