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
  removals.OnOutageStarted(OutageSource::kServers);
  CHECK(removals.OnRecordsRemoved({kServer}, At(0)).empty());
  CHECK(removals.PopDue(At(60'000)).empty());

  removals.OnOutageEnded(OutageSource::kServers, At(60'000));
  CHECK(removals.PopDue(At(62'000)).empty());
  CHECK(removals.PopDue(At(62'300)).size() == 1);
  CHECK(removals.PopDue(At(62'400)).empty());
}

TEST_CASE("a delayed removal is cancelled when the server registers again") {
  DelayedRemovals removals;
  removals.OnOutageStarted(OutageSource::kServers);
  removals.OnRecordsRemoved({kServer}, At(0));
  removals.OnOutageEnded(OutageSource::kServers, At(100));
  removals.OnRecordRegistered(kServer);

  CHECK(removals.PopDue(At(10'000)).empty());
}

TEST_CASE("a list after an outage removes servers only after a delay") {
  DelayedRemovals removals;
  removals.OnOutageStarted(OutageSource::kServers);
  removals.OnOutageEnded(OutageSource::kServers, At(0));

  CHECK(removals.OnRecordsRemoved({kServer}, At(100)).empty());
  CHECK(removals.PopDue(At(2299)).empty());
  CHECK(removals.PopDue(At(2300)).size() == 1);
  CHECK(removals.OnRecordsRemoved({kServer}, At(2400)).size() == 1);
}

TEST_CASE("an outage lasts until the calls for both collections succeed") {
  DelayedRemovals removals;
  const std::vector names = {steering::ServerName("i-1")};
  removals.OnOutageStarted(OutageSource::kServers);
  removals.OnOutageStarted(OutageSource::kManifests);
  removals.OnOutageEnded(OutageSource::kManifests, At(100));

  CHECK(removals.OnRecordsRemoved(names, At(5000)).empty());
  CHECK(removals.PopDue(At(20000)).empty());

  removals.OnOutageEnded(OutageSource::kServers, At(20000));
  CHECK(removals.PopDue(At(20100)).empty());
  CHECK(removals.PopDue(At(22400)) == names);
}

TEST_CASE("an outage that a peer knows of delays removals as an own one does") {
  DelayedRemovals removals;
  const std::vector names = {steering::ServerName("i-1")};
  removals.SetOutage(true, std::nullopt);
  CHECK(removals.OnRecordsRemoved(names, At(100)).empty());

  removals.SetOutage(false, At(1000));
  // The peer reports the same end again later.
  removals.SetOutage(false, At(1000));

  CHECK(removals.PopDue(At(3200)).empty());
  CHECK(removals.PopDue(At(3300)) == names);
}

TEST_CASE("a second restore of the store delays the pending removals again") {
  DelayedRemovals removals;
  removals.OnStoreRestored(At(0));
  CHECK(removals.OnRecordsRemoved({kServer}, At(0)).empty());

  removals.OnStoreRestored(At(2200));

  CHECK(removals.PopDue(At(2300)).empty());
  CHECK(removals.PopDue(At(4500)).size() == 1);
}

}  // namespace catalog
