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

TEST_CASE(
    "a server whose record is removed outside an outage is removed at once") {
  DelayedRemovals removals;

  CHECK(removals.OnRecordsRemoved({kServer}, At(0)).size() == 1);
}

TEST_CASE(
    "a server whose record is removed in an outage is removed some time after "
    "the outage") {
  DelayedRemovals removals;
  removals.OnOutageStarted();
  CHECK(removals.OnRecordsRemoved({kServer}, At(0)).empty());
  CHECK(removals.PopDue(At(60'000)).empty());

  removals.OnOutageEnded(At(60'000));
  CHECK(removals.PopDue(At(62'000)).empty());
  CHECK(removals.PopDue(At(62'300)).size() == 1);
  CHECK(removals.PopDue(At(62'400)).empty());
}

TEST_CASE("a delayed removal is cancelled when the server registers again") {
  DelayedRemovals removals;
  removals.OnOutageStarted();
  removals.OnRecordsRemoved({kServer}, At(0));
  removals.OnOutageEnded(At(100));
  removals.OnRecordRegistered(kServer);

  CHECK(removals.PopDue(At(10'000)).empty());
}

TEST_CASE("a list after an outage removes servers only after a delay") {
  DelayedRemovals removals;
  removals.OnOutageStarted();
  removals.OnOutageEnded(At(0));

  CHECK(removals.OnRecordsRemoved({kServer}, At(100)).empty());
  CHECK(removals.PopDue(At(2299)).empty());
  CHECK(removals.PopDue(At(2300)).size() == 1);
  CHECK(removals.OnRecordsRemoved({kServer}, At(2400)).size() == 1);
}

}  // namespace catalog
