#include <doctest/doctest.h>

#include <chrono>

#include "LibCatalog/delayed_removals.h"

namespace catalog {

namespace {

const steering::ServerName kServer("i-1");

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("a server that leaves while the store is there is removed at once") {
  DelayedRemovals removals;

  CHECK(removals.OnRecordsRemoved({kServer}, At(0)).size() == 1);
}

TEST_CASE(
    "a record that lapsed with the store is missed only after its "
    "return") {
  DelayedRemovals removals;
  removals.OnOutageStarted();
  CHECK(removals.OnRecordsRemoved({kServer}, At(0)).empty());
  CHECK(removals.PopDue(At(60'000)).empty());

  removals.OnOutageEnded(At(60'000));
  CHECK(removals.PopDue(At(62'000)).empty());
  CHECK(removals.PopDue(At(62'300)).size() == 1);
  CHECK(removals.PopDue(At(62'400)).empty());
}

TEST_CASE("a server that registers again is not removed") {
  DelayedRemovals removals;
  removals.OnOutageStarted();
  removals.OnRecordsRemoved({kServer}, At(0));
  removals.OnOutageEnded(At(100));
  removals.OnRecordRegistered(kServer);

  CHECK(removals.PopDue(At(10'000)).empty());
}

TEST_CASE("the list that follows an outage removes nothing at once") {
  DelayedRemovals removals;
  removals.OnOutageStarted();
  removals.OnOutageEnded(At(0));

  CHECK(removals.OnRecordsRemoved({kServer}, At(100)).empty());
  CHECK(removals.PopDue(At(2299)).empty());
  CHECK(removals.PopDue(At(2300)).size() == 1);
  CHECK(removals.OnRecordsRemoved({kServer}, At(2400)).size() == 1);
}

}  // namespace catalog
