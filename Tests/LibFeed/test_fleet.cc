// Fleets of hundreds of balancers under faults. A change must be known within
// its bound at each undisturbed balancer, no balancer may step back to an older
// revision, and the calls to the store may not grow with the fleet.

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>

#include "LibBase/random.h"
#include "LibFeed/fleet_simulation.h"

namespace feed {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The bounds of the deployment with 195 balancers.
constexpr base::Duration kBound = seconds(6);
constexpr base::Duration kChangeInterval = milliseconds(1700);

FleetSimulation MakeRunningFleet(const FleetOptions& options = {}) {
  FleetSimulation fleet(options);
  fleet.Run(seconds(15), kChangeInterval);
  fleet.ResetCounts();
  return fleet;
}

}  // namespace

TEST_CASE("a fleet that starts settles on its readers in each data centre") {
  for (const std::size_t readers : {1U, 2U}) {
    FleetOptions options;
    options.m_readers_per_data_centre = readers;
    FleetSimulation fleet(options);
    fleet.Run(seconds(1), kChangeInterval);
    CHECK(fleet.WithoutView() == 0);

    fleet.Run(seconds(14), kChangeInterval);

    for (std::size_t data_centre = 0; data_centre < 5; ++data_centre)
      CHECK(fleet.Readers(data_centre) == readers);
  }
}

TEST_CASE("the calls to the store do not grow with the fleet") {
  constexpr base::Duration kTime = seconds(30);
  std::size_t calls_of_small_fleet = 0;
  for (const std::size_t size : {50U, 400U}) {
    FleetOptions options;
    options.m_balancers = size;
    FleetSimulation fleet = MakeRunningFleet(options);
    fleet.Run(kTime, kChangeInterval);
    if (calls_of_small_fleet == 0)
      calls_of_small_fleet = fleet.Calls();
    CHECK(fleet.Calls() <= calls_of_small_fleet * 11 / 10);
    CHECK(fleet.LongestDelay() < kBound);
  }
}

TEST_CASE("without the feed each balancer calls the store for each change") {
  FleetOptions options;
  options.m_has_feed = false;
  FleetSimulation fleet = MakeRunningFleet(options);
  const FleetOptions with_feed;
  FleetSimulation fed_fleet = MakeRunningFleet(with_feed);

  fleet.Run(seconds(20), kChangeInterval);
  fed_fleet.Run(seconds(20), kChangeInterval);

  CHECK(fleet.Calls() > 10 * fed_fleet.Calls());
}

TEST_CASE("a change is known in time though all readers of a data centre die") {
  for (const std::size_t readers : {1U, 2U}) {
    FleetOptions options;
    options.m_readers_per_data_centre = readers;
    FleetSimulation fleet = MakeRunningFleet(options);

    for (std::size_t index = 0; index < fleet.size(); index += 5) {
      if (fleet.IsReader(index))
        fleet.Kill(index);
    }
    fleet.Run(seconds(20), kChangeInterval);

    CHECK(fleet.LongestDelay() < kBound);
    CHECK(fleet.Readers(0) == readers);
  }
}

TEST_CASE("a data centre that is cut off learns of changes by itself") {
  FleetOptions options;
  options.m_readers_per_data_centre = 1;
  FleetSimulation fleet = MakeRunningFleet(options);

  // The balancers of data centre 0 reach each other and the store.
  fleet.CutDataCentre(0);
  fleet.Run(seconds(10), kChangeInterval);
  for (std::size_t index = 0; index < fleet.size(); index += 5) {
    if (fleet.IsReader(index))
      fleet.Kill(index);
  }
  fleet.Run(seconds(20), kChangeInterval);

  CHECK(fleet.LongestDelay() < kBound);
}

TEST_CASE("a change is known in time though all seeds are dead") {
  FleetSimulation fleet = MakeRunningFleet();

  for (std::size_t seed = 0; seed < 3; ++seed)
    fleet.Kill(seed);
  fleet.Run(seconds(10), kChangeInterval);
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    if (fleet.IsReader(index))
      fleet.Kill(index);
  }
  fleet.Run(seconds(20), kChangeInterval);

  CHECK(fleet.LongestDelay() < kBound);
}

TEST_CASE("readers that the store refuses alone make nobody's view older") {
  FleetSimulation fleet = MakeRunningFleet();

  for (std::size_t index = 0; index < fleet.size(); ++index) {
    if (fleet.IsReader(index))
      fleet.CutFromStore(index, true);
  }
  fleet.Run(seconds(20), kChangeInterval);

  CHECK(fleet.LongestDelay() < kBound);
  CHECK(fleet.StepsBack() == 0);
}

TEST_CASE("a frozen reader that wakes confirms nothing that it does not know") {
  FleetSimulation fleet = MakeRunningFleet();

  for (std::size_t index = 0; index < fleet.size(); ++index) {
    if (fleet.IsReader(index))
      fleet.Freeze(index, seconds(5));
  }
  fleet.Run(seconds(20), kChangeInterval);

  CHECK(fleet.LongestDelay() < kBound);
  CHECK(fleet.StepsBack() == 0);
}

TEST_CASE("the balancers do not all call the store when an outage begins") {
  FleetSimulation fleet = MakeRunningFleet();

  fleet.SetStoreDown(true);
  fleet.Run(seconds(6), kChangeInterval);
  const std::size_t burst = fleet.LargestBurst();
  fleet.SetStoreDown(false);
  fleet.Run(seconds(20), kChangeInterval);

  // A twentieth of the fleet in 100 ms.
  CHECK(burst <= fleet.size() / 20 + 10);
  CHECK(fleet.LongestDelay() < kBound);
  CHECK(fleet.StepsBack() == 0);
}

TEST_CASE("a fleet that lost all processes has views again at once") {
  FleetSimulation fleet = MakeRunningFleet();
  for (std::size_t index = 0; index < fleet.size(); ++index)
    fleet.Kill(index);
  fleet.Run(seconds(1), kChangeInterval);
  for (std::size_t index = 0; index < fleet.size(); ++index)
    fleet.Start(index);

  fleet.Run(milliseconds(100), kChangeInterval);
  CHECK(fleet.WithoutView() == 0);
  fleet.Run(seconds(15), kChangeInterval);
  fleet.ResetCounts();
  fleet.Run(seconds(10), kChangeInterval);

  CHECK(fleet.Calls() <= 150);
}

TEST_CASE(
    "under random faults a change is known in time and nothing is undone") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    FleetOptions options;
    options.m_balancers = 120;
    options.m_seed = seed;
    options.m_readers_per_data_centre = 1 + seed % 2;
    FleetSimulation fleet = MakeRunningFleet(options);
    base::Random random(seed);
    for (int round = 0; round < 40; ++round) {
      const std::size_t index = random.Below(fleet.size());
      switch (random.Below(7)) {
        case 0:
          fleet.Kill(index);
          break;
        case 1:
          fleet.Start(index);
          break;
        case 2:
          fleet.Freeze(index, milliseconds(500 + 1000 * random.Below(5)));
          break;
        case 3:
          fleet.CutFromStore(index, random.Below(2) == 0);
          break;
        case 4:
          fleet.CutFromPeers(index, random.Below(2) == 0);
          break;
        case 5:
          fleet.CompactHistory();
          break;
        default:
          fleet.SetStoreDown(random.Below(4) == 0);
          break;
      }
      fleet.Run(milliseconds(200 + 100 * random.Below(10)), milliseconds(700));
    }
    INFO("seed ", seed);
    CHECK(fleet.LongestDelay() < kBound);
    CHECK(fleet.StepsBack() == 0);
  }
}

// Followers kept the view of the former era, and watches from revisions that
// were assigned again missed changes.
TEST_CASE(
    "after a restore of the store each balancer knows its state in time") {
  for (const std::size_t changes : {1U, 5U, 100U}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      FleetOptions options;
      options.m_balancers = 90;
      options.m_data_centres = 3;
      options.m_seed = seed;
      FleetSimulation fleet = MakeRunningFleet(options);

      fleet.SetStoreDown(true);
      fleet.Run(milliseconds(500 * seed), kChangeInterval);
      fleet.Restore(changes);
      fleet.SetStoreDown(false);
      fleet.Run(seconds(20), kChangeInterval);

      INFO("changes ", changes, ", seed ", seed);
      CHECK(fleet.Gaps() == 0);
      CHECK(fleet.LongestDelay() < kBound);
      CHECK(fleet.StepsBack() == 0);
    }
  }
}

TEST_CASE(
    "under random faults with restores of the store nothing is missed or "
    "undone") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    FleetOptions options;
    options.m_balancers = 30 * (1 + seed % 3);
    options.m_data_centres = 3;
    options.m_seed = seed;
    options.m_readers_per_data_centre = 1 + seed % 2;
    FleetSimulation fleet = MakeRunningFleet(options);
    base::Random random(seed);
    for (int round = 0; round < 40; ++round) {
      const std::size_t index = random.Below(fleet.size());
      switch (random.Below(6)) {
        case 0:
          fleet.Kill(index);
          break;
        case 1:
          fleet.Start(index);
          break;
        case 2:
          fleet.Freeze(index, milliseconds(500 + 1000 * random.Below(5)));
          break;
        case 3:
          fleet.CutFromStore(index, random.Below(2) == 0);
          break;
        case 4:
          fleet.SetStoreDown(random.Below(2) == 0);
          break;
        default:
          fleet.Restore(random.Below(8));
          break;
      }
      fleet.Run(milliseconds(200 + 100 * random.Below(10)), milliseconds(700));
    }
    fleet.SetStoreDown(false);
    fleet.Run(seconds(20), milliseconds(700));
    INFO("seed ", seed);
    CHECK(fleet.Gaps() == 0);
    CHECK(fleet.LongestDelay() < kBound);
    CHECK(fleet.StepsBack() == 0);
  }
}

// A reader whose calls the store did not respond to claimed to know all changes
// up to 400 ms ago, and its followers reset flows of routes that were back.
TEST_CASE(
    "no balancer claims to know changes that it lacks while readers are "
    "cut, silent, frozen and killed") {
  constexpr std::uint64_t kDefaultSeeds = 20;
  const char* count = std::getenv("COLTSFOOTDALE_TEST_SEEDS");
  const std::uint64_t seeds =
      count == nullptr ? kDefaultSeeds : std::strtoull(count, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    base::Random random(seed);
    FleetOptions options;
    options.m_balancers = 12;
    options.m_data_centres = 3;
    options.m_readers_per_data_centre = 1;
    options.m_seed = seed;
    FleetSimulation fleet(options);
    fleet.Run(seconds(8), kChangeInterval);
    for (int round = 0; round < 30; ++round) {
      const std::size_t index = random.Below(fleet.size());
      switch (random.Below(8)) {
        case 0:
          fleet.CutFromStore(index, true);
          break;
        case 1:
          fleet.SilenceStore(index, true);
          break;
        case 2:
          fleet.Freeze(index, milliseconds(200 + random.Below(3000)));
          break;
        case 3:
          fleet.Kill(index);
          fleet.Start(index);
          break;
        case 4:
          fleet.CutFromStore(index, false);
          fleet.SilenceStore(index, false);
          break;
        default:
          fleet.RequireCurrentView(index);
          break;
      }
      fleet.Run(milliseconds(50 + random.Below(1000)),
                milliseconds(20 + random.Below(500)));
    }
    INFO("seed ", seed);
    CHECK(fleet.FalseClaims() == 0);
  }
}

TEST_CASE(
    "an undisturbed balancer gets a current view before a packet that "
    "waits for it is sent on") {
  constexpr base::Duration kMaximumPacketWait = milliseconds(150);
  FleetOptions options;
  options.m_balancers = 60;
  options.m_loss = 0;
  FleetSimulation fleet = MakeRunningFleet(options);
  base::Random random(11);
  for (int round = 0; round < 300; ++round) {
    fleet.RequireCurrentView(random.Below(fleet.size()));
    fleet.Run(milliseconds(10 + random.Below(100)), kChangeInterval);
  }
  fleet.Run(kMaximumPacketWait, kChangeInterval);

  CHECK(fleet.Unconfirmed() == 0);
  CHECK(fleet.LongestConfirmation() <= kMaximumPacketWait);
  CHECK(fleet.FalseClaims() == 0);
}

}  // namespace feed
