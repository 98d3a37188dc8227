#include <doctest/doctest.h>

#include <chrono>

#include "LibCatalog/lapse_guard.h"

namespace catalog {

namespace {

const steering::ServerName kServer("i-1");

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("a server that leaves while the store is there is removed at once") {
  LapseGuard guard;

  CHECK(guard.OnRemoved({kServer}, At(0)).size() == 1);
}

TEST_CASE(
    "a record that lapsed with the store is missed only after its "
    "return") {
  LapseGuard guard;
  guard.OnLost();
  CHECK(guard.OnRemoved({kServer}, At(0)).empty());
  CHECK(guard.TakeDue(At(60'000)).empty());

  guard.OnRegained(At(60'000));
  CHECK(guard.TakeDue(At(62'000)).empty());
  CHECK(guard.TakeDue(At(62'300)).size() == 1);
  CHECK(guard.TakeDue(At(62'400)).empty());
}

TEST_CASE("a server that registers again is not removed") {
  LapseGuard guard;
  guard.OnLost();
  guard.OnRemoved({kServer}, At(0));
  guard.OnRegained(At(100));
  guard.OnRegistered(kServer);

  CHECK(guard.TakeDue(At(10'000)).empty());
}

TEST_CASE("the list that follows an outage removes nothing at once") {
  LapseGuard guard;
  guard.OnLost();
  guard.OnRegained(At(0));

  CHECK(guard.OnRemoved({kServer}, At(100)).empty());
  CHECK(guard.TakeDue(At(2299)).empty());
  CHECK(guard.TakeDue(At(2300)).size() == 1);
  CHECK(guard.OnRemoved({kServer}, At(2400)).size() == 1);
}

}  // namespace catalog
