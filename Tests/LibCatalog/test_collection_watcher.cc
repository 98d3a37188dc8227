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

CollectionWatcher MakeWatcher() {
  return {WatcherPolicy(), base::Random(1), At(0)};
}

// A revision of a store that came back from a copy `era` times.
Revision InEra(std::uint64_t era, std::uint64_t number) {
  return {base::StoreEra(era), number};
}

// Returns a watcher that has listed one page at revision 5, and whose next call
// is a watch from that revision.
CollectionWatcher MakeListedWatcher() {
  CollectionWatcher watcher = MakeWatcher();
  watcher.StartDueCall(At(0));
  watcher.HandleResult(PageResponse{Revision(5)}, At(4));
  return watcher;
}

}  // namespace

TEST_CASE(
    "all pages are listed, and the watch starts at the revision of the first "
    "page") {
  CollectionWatcher watcher = MakeWatcher();
  const auto first = watcher.StartDueCall(At(0));
  REQUIRE(first);
  CHECK(std::get<ListCall>(*first).m_after.empty());
  auto outcome =
      watcher.HandleResult(PageResponse{Revision(5), true, "i-50"}, At(4));
  CHECK(outcome.m_update == CollectionUpdate::kFirstListPage);

  const auto second = watcher.StartDueCall(At(4));
  REQUIRE(second);
  CHECK(std::get<ListCall>(*second).m_after == "i-50");
  outcome = watcher.HandleResult(PageResponse{Revision(8)}, At(8));
  CHECK(outcome.m_update == CollectionUpdate::kListComplete);

  const auto watch = watcher.StartDueCall(At(8));
  REQUIRE(watch);
  CHECK(std::get<WatchCall>(*watch).m_since == Revision(5));
}

TEST_CASE("at most one call is open at a time") {
  CollectionWatcher watcher = MakeWatcher();
  REQUIRE(watcher.StartDueCall(At(0)));

  CHECK_FALSE(watcher.StartDueCall(At(0)));
}

TEST_CASE(
    "the next watch is delayed by the pause after changes, but not after a "
    "wait without changes") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  CHECK(watcher.HandleResult(ChangesResponse{Revision(6)}, At(10)).m_update ==
        CollectionUpdate::kChanged);
  CHECK_FALSE(watcher.StartDueCall(At(809)));
  REQUIRE(watcher.StartDueCall(At(810)));

  watcher.HandleResult(ChangesResponse{Revision(6)}, At(4810));
  CHECK(watcher.StartDueCall(At(4810)));
}

TEST_CASE(
    "a watch of a lost history is followed by a list at once, and does not "
    "count as an outage") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  const auto outcome = watcher.HandleResult(CallFailure::kHistoryGone, At(100));

  CHECK_FALSE(outcome.m_is_store_lost);
  const auto call = watcher.StartDueCall(At(100));
  REQUIRE(call);
  CHECK(std::holds_alternative<ListCall>(*call));
}

TEST_CASE(
    "calls back off after failures, and the start and end of an outage are "
    "reported once") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  CHECK(watcher.HandleResult(CallFailure::kTimedOut, At(1000)).m_is_store_lost);
  CHECK(watcher.NextCallAt() > At(1000));
  CHECK(watcher.NextCallAt() <= At(1100));

  watcher.StartDueCall(At(1100));
  CHECK_FALSE(watcher.HandleResult(CallFailure::kUnavailable, At(1101))
                  .m_is_store_lost);
  CHECK(watcher.FailingSince() == At(1000));
  for (int i = 0; i < 10; ++i) {
    watcher.StartDueCall(watcher.NextCallAt());
    watcher.HandleResult(CallFailure::kOverRate, At(5000));
  }
  CHECK(watcher.NextCallAt() <= At(5800));

  watcher.StartDueCall(At(6000));
  const auto outcome =
      watcher.HandleResult(ChangesResponse{Revision(6)}, At(6004));
  CHECK(outcome.m_is_store_regained);
  CHECK_FALSE(watcher.FailingSince());
}

TEST_CASE(
    "a response that is far too late is reported as the start and end of an "
    "outage") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  const auto outcome =
      watcher.HandleResult(ChangesResponse{Revision(6)}, At(4700));

  CHECK(outcome.m_is_store_lost);
  CHECK(outcome.m_is_store_regained);
}

TEST_CASE(
    "a watch after a failure has a short wait, so that the end of an outage is "
    "detected early") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  watcher.HandleResult(CallFailure::kTimedOut, At(5000));

  const auto retry = watcher.StartDueCall(At(5100));
  REQUIRE(retry);
  CHECK(std::get<WatchCall>(*retry).m_wait <= std::chrono::milliseconds(200));

  watcher.HandleResult(ChangesResponse{Revision(6)}, At(5110));
  const auto next = watcher.StartDueCall(At(6000));
  REQUIRE(next);
  CHECK(std::get<WatchCall>(*next).m_wait ==
        WatcherPolicy().m_watch_wait - std::chrono::milliseconds(890));
}

// A watch whose response was too large was repeated until the store lost the
// history.
TEST_CASE("a watch with a response that cannot be used is followed by a list") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  const auto outcome = watcher.HandleResult(CallFailure::kMalformed, At(10));
  CHECK(outcome.m_is_store_lost);
  CHECK_FALSE(watcher.StartDueCall(At(11)));

  const auto call = watcher.StartDueCall(At(900));

  REQUIRE(call);
  REQUIRE(std::holds_alternative<ListCall>(*call));
  CHECK(std::get<ListCall>(*call).m_after.empty());
  CHECK(watcher.HandleResult(PageResponse{Revision(8)}, At(905)).m_update ==
        CollectionUpdate::kListComplete);
  CHECK(watcher.KnownRevision() == Revision(8));
}

// The wait began after the pause, so a silent watch was detected later.
TEST_CASE("the wait of a watch includes the pause before it") {
  CollectionWatcher watcher = MakeListedWatcher();
  const WatcherPolicy policy;
  watcher.StartDueCall(At(4));
  watcher.HandleResult(ChangesResponse{Revision(6)}, At(10));
  const base::TimePoint next_at = At(10) + policy.m_pause_between_watches;

  const auto call = watcher.StartDueCall(next_at);

  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_wait ==
        policy.m_watch_wait - policy.m_pause_between_watches);
  CHECK_FALSE(watcher.IsCurrent(At(11) + policy.m_watch_wait +
                                policy.m_overdue_response));
}

TEST_CASE("a list that is older than the known revision is not applied") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  watcher.HandleResult(CallFailure::kHistoryGone, At(10));
  watcher.StartDueCall(At(10));

  const auto outcome = watcher.HandleResult(PageResponse{Revision(4)}, At(14));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.KnownRevision() == Revision(5));
  const auto call = watcher.StartDueCall(At(200));
  REQUIRE(call);
  CHECK(std::holds_alternative<ListCall>(*call));
}

TEST_CASE("the revision of a peer is adopted only if it is newer") {
  CollectionWatcher watcher = MakeListedWatcher();

  CHECK_FALSE(watcher.AdoptRevision(Revision(5)));
  CHECK(watcher.AdoptRevision(Revision(9)));
  const auto call = watcher.StartDueCall(At(10));
  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_since == Revision(9));
}

TEST_CASE("a list that is overtaken by the list of a peer is not repeated") {
  CollectionWatcher watcher = MakeWatcher();
  watcher.StartDueCall(At(0));
  REQUIRE(watcher.AdoptRevision(Revision(9)));

  watcher.HandleResult(PageResponse{Revision(7)}, At(4));

  CHECK(watcher.KnownRevision() == Revision(9));
  const auto call = watcher.StartDueCall(At(500));
  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_since == Revision(9));
}

TEST_CASE("a watcher is current only while its calls are confirmed in time") {
  CollectionWatcher watcher = MakeListedWatcher();
  const WatcherPolicy policy;
  CHECK(watcher.IsCurrent(At(10)));
  watcher.StartDueCall(At(10));
  CHECK(watcher.IsCurrent(At(3000)));

  // The watch does not return in time.
  CHECK_FALSE(
      watcher.IsCurrent(At(20) + policy.m_watch_wait + policy.m_late_response));

  watcher.HandleResult(CallFailure::kTimedOut, At(6000));
  CHECK_FALSE(watcher.IsCurrent(At(6001)));
}

TEST_CASE("the first watch after a time without calls soon shows the store") {
  CollectionWatcher watcher = MakeListedWatcher();

  const auto call = watcher.StartDueCall(At(60'000));

  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_wait ==
        WatcherPolicy().m_watch_wait_in_outage);
  CHECK_FALSE(watcher.IsCurrent(At(60'001)));
  watcher.HandleResult(ChangesResponse{Revision(6)}, At(60'010));
  CHECK(watcher.IsCurrent(At(60'011)));
}

TEST_CASE(
    "changes of a restored store are not applied but lead to a list, which "
    "counts though its number is smaller") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  auto outcome = watcher.HandleResult(ChangesResponse{InEra(1, 8)}, At(10));
  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.KnownRevision() == Revision(5));

  const auto list = watcher.StartDueCall(At(10));
  REQUIRE(list);
  REQUIRE(std::holds_alternative<ListCall>(*list));
  outcome = watcher.HandleResult(PageResponse{InEra(1, 3)}, At(14));

  CHECK(outcome.m_update == CollectionUpdate::kListComplete);
  CHECK(outcome.m_is_store_restored);
  CHECK(outcome.m_is_store_regained);
  CHECK(watcher.KnownRevision() == InEra(1, 3));
}

TEST_CASE("the first list of a balancer shows no restore") {
  CollectionWatcher watcher = MakeWatcher();
  watcher.StartDueCall(At(0));

  const auto outcome = watcher.HandleResult(PageResponse{InEra(4, 5)}, At(4));

  CHECK_FALSE(outcome.m_is_store_restored);
  CHECK_FALSE(outcome.m_is_store_regained);
}

TEST_CASE("a list with pages of two eras starts again at its first page") {
  CollectionWatcher watcher = MakeWatcher();
  watcher.StartDueCall(At(0));
  watcher.HandleResult(PageResponse{InEra(1, 5), true, "i-50"}, At(4));
  watcher.StartDueCall(At(4));

  const auto outcome = watcher.HandleResult(PageResponse{InEra(2, 4)}, At(8));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.KnownRevision() == Revision());
  const auto list = watcher.StartDueCall(At(8));
  REQUIRE(list);
  CHECK(std::get<ListCall>(*list).m_after.empty());
}

TEST_CASE("a late response of a former era moves nothing back") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  REQUIRE(watcher.AdoptRevision(InEra(1, 3)));

  const auto outcome =
      watcher.HandleResult(ChangesResponse{Revision(9)}, At(10));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.KnownRevision() == InEra(1, 3));
  const auto watch = watcher.StartDueCall(At(500));
  REQUIRE(watch);
  CHECK(std::get<WatchCall>(*watch).m_since == InEra(1, 3));
}

TEST_CASE("a store that only responds in a former era counts as failing") {
  CollectionWatcher watcher = MakeListedWatcher();
  REQUIRE(watcher.AdoptRevision(InEra(1, 3)));
  watcher.StartDueCall(At(900));
  CHECK(watcher.HandleResult(ChangesResponse{Revision(9)}, At(910))
            .m_is_store_lost);

  watcher.StartDueCall(At(2000));
  const auto outcome =
      watcher.HandleResult(ChangesResponse{Revision(9)}, At(2010));

  CHECK(outcome.m_failure == CallFailure::kFormerEra);
  CHECK(watcher.FailingSince() == At(910));
  CHECK_FALSE(watcher.IsCurrent(At(2010)));
}

TEST_CASE(
    "the changes since a revision of a former era don't follow a peer's list "
    "of the new one") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  REQUIRE(watcher.AdoptRevision(InEra(1, 3)));

  // The events from 6 to 8; those of 4 and 5 are missing.
  const auto outcome =
      watcher.HandleResult(ChangesResponse{InEra(1, 8)}, At(10));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.KnownRevision() == InEra(1, 3));
}

// A removal that a peer's later view had undone was applied again.
TEST_CASE("events that a peer's view already contains are not applied again") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  REQUIRE(watcher.AdoptRevision(Revision(9)));

  const auto outcome =
      watcher.HandleResult(ChangesResponse{Revision(7)}, At(10));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.KnownRevision() == Revision(9));
}

// A server that registered and left before the peer's view was added again, and
// its removal was delayed as that of a late response.
TEST_CASE(
    "events that partly precede a peer's view are requested again from its "
    "revision, at once") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  const auto confirmed = watcher.ConfirmedAt();
  REQUIRE(watcher.AdoptRevision(Revision(9)));

  const auto outcome =
      watcher.HandleResult(ChangesResponse{Revision(11)}, At(10));

  CHECK(outcome.m_update == CollectionUpdate::kNone);
  CHECK(watcher.ConfirmedAt() == confirmed);
  const auto call = watcher.StartDueCall(At(10));
  REQUIRE(call);
  CHECK(std::get<WatchCall>(*call).m_since == Revision(9));
  CHECK(watcher.HandleResult(ChangesResponse{Revision(11)}, At(12)).m_update ==
        CollectionUpdate::kChanged);
}

// A balancer that the store did not respond to claimed to know all changes up
// to 400 ms ago while its watch was open, and flows that it or its followers
// denied were reset, although a change that it had not received allowed them.
TEST_CASE(
    "a view is current as of the start of the last list or watch that the "
    "store responded to, and an open call shows nothing") {
  CollectionWatcher watcher = MakeWatcher();
  CHECK_FALSE(watcher.CurrentAsOf());
  watcher.StartDueCall(At(0));
  watcher.HandleResult(PageResponse{Revision(5), true, "i-50"}, At(4));
  CHECK_FALSE(watcher.CurrentAsOf());
  watcher.StartDueCall(At(40));
  watcher.HandleResult(PageResponse{Revision(8)}, At(44));
  // The changes between the pages are not known yet.
  CHECK(watcher.CurrentAsOf() == At(0));

  watcher.StartDueCall(At(50));
  CHECK(watcher.IsCurrent(At(1000)));
  CHECK(watcher.CurrentAsOf() == At(0));
  // A response that was held up may have been sent right after the start.
  watcher.HandleResult(ChangesResponse{Revision(9)}, At(1000));
  CHECK(watcher.CurrentAsOf() == At(50));

  watcher.StartDueCall(At(1900));
  CHECK(watcher.CurrentAsOf() == At(50));
  watcher.HandleResult(CallFailure::kTimedOut, At(2900));
  CHECK(watcher.CurrentAsOf() == At(50));
}

// The age of a reader's view lacked the time for which the reader was
// suspended, and followers took an old view for current.
TEST_CASE("no call from before a suspension shows how current a view is") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(10));

  watcher.HandleSuspension(At(20));
  CHECK_FALSE(watcher.CurrentAsOf());
  watcher.HandleResult(ChangesResponse{Revision(9)}, At(30));
  CHECK_FALSE(watcher.CurrentAsOf());

  watcher.EndPause(At(40));
  REQUIRE(watcher.StartDueCall(At(40)));
  watcher.HandleResult(ChangesResponse{Revision(9)}, At(44));
  CHECK(watcher.CurrentAsOf() == At(40));
}

TEST_CASE("a peer's newer view is current as of the watch that it overtook") {
  CollectionWatcher watcher = MakeListedWatcher();
  const auto listed_at = watcher.CurrentAsOf();
  watcher.StartDueCall(At(10));
  REQUIRE(watcher.AdoptRevision(Revision(9)));
  CHECK(watcher.CurrentAsOf() == listed_at);

  watcher.HandleResult(ChangesResponse{Revision(7)}, At(20));

  CHECK(watcher.CurrentAsOf() == At(10));
}

TEST_CASE("a confirmation replaces the open watch and ends the pause") {
  CollectionWatcher watcher = MakeListedWatcher();
  const auto first = watcher.StartDueCall(At(10));
  REQUIRE(first);
  CHECK(std::get<WatchCall>(*first).m_wait > base::Duration::zero());

  // All changes made before the start of the list are known.
  CHECK_FALSE(watcher.RequestConfirmation(*watcher.CurrentAsOf(), At(400)));
  REQUIRE(watcher.RequestConfirmation(At(300), At(400)));
  watcher.HandleCancellation();
  const auto second = watcher.StartDueCall(At(400));
  REQUIRE(second);
  CHECK(std::get<WatchCall>(*second).m_since ==
        std::get<WatchCall>(*first).m_since);
  CHECK(std::get<WatchCall>(*second).m_wait == base::Duration::zero());
  // A need that arises while the confirmation is open has one of its own.
  CHECK_FALSE(watcher.RequestConfirmation(At(402), At(402)));
  watcher.HandleResult(ChangesResponse{Revision(9)}, At(404));
  CHECK(watcher.CurrentAsOf() == At(400));
  CHECK_FALSE(watcher.StartDueCall(At(449)));
  const auto third = watcher.StartDueCall(At(450));
  REQUIRE(third);
  CHECK(std::get<WatchCall>(*third).m_wait == base::Duration::zero());
  watcher.HandleResult(ChangesResponse{Revision(9)}, At(454));

  // In the pause.
  CHECK_FALSE(watcher.StartDueCall(At(600)));
  CHECK_FALSE(watcher.RequestConfirmation(At(600), At(600)));
  REQUIRE(watcher.StartDueCall(At(600)));
  watcher.HandleResult(ChangesResponse{Revision(9)}, At(604));
  const auto next =
      watcher.StartDueCall(At(604) + WatcherPolicy().m_pause_between_watches);
  REQUIRE(next);
  CHECK(std::get<WatchCall>(*next).m_wait > base::Duration::zero());
}

// A confirmation must not hide that the store has ceased to respond.
TEST_CASE(
    "a confirmation does not replace an overdue watch, a list or a "
    "back-off") {
  CollectionWatcher listing = MakeWatcher();
  listing.StartDueCall(At(0));
  CHECK_FALSE(listing.RequestConfirmation(At(1), At(1)));

  CollectionWatcher watcher = MakeListedWatcher();
  const auto call = watcher.StartDueCall(At(10));
  REQUIRE(call);
  const base::TimePoint end = At(10) + std::get<WatchCall>(*call).m_wait;
  CHECK_FALSE(watcher.RequestConfirmation(At(500), end));
  watcher.HandleResult(CallFailure::kTimedOut, end);
  const base::TimePoint next = watcher.NextCallAt();
  CHECK_FALSE(watcher.RequestConfirmation(end, end));
  CHECK(watcher.NextCallAt() == next);
}

TEST_CASE("a pause between two watches can be ended, a back-off cannot") {
  CollectionWatcher watcher = MakeListedWatcher();
  watcher.StartDueCall(At(4));
  watcher.HandleResult(ChangesResponse{Revision(6)}, At(10));
  CHECK_FALSE(watcher.StartDueCall(At(20)));
  watcher.EndPause(At(20));
  CHECK(watcher.StartDueCall(At(20)));

  watcher.HandleResult(CallFailure::kUnavailable, At(30));
  watcher.EndPause(At(31));
  CHECK_FALSE(watcher.StartDueCall(At(31)));
}

}  // namespace catalog
