// Randomised runs of several watchers under message loss, lagging reads,
// platform outages and pauses.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibPlatform/watcher_simulation.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An accepted document must be in force on all balancers within this time.
constexpr auto kInForceWithin = seconds(4);
constexpr int kFaultRounds = 12;

SimulationFaults RandomFaults(base::Random& random, std::size_t watcher_count) {
  SimulationFaults faults;
  faults.m_message_loss_percent = random.Below(60);
  faults.m_read_lag = milliseconds(random.Below(2000));
  faults.m_platform_is_down = random.Below(3) == 0;
  for (std::size_t index = 0; index < watcher_count; ++index) {
    if (random.Below(3) == 0)
      faults.m_partitioned_from_platform.insert(index);
    if (random.Below(5) == 0)
      faults.m_paused.insert(index);
  }
  return faults;
}

}  // namespace

TEST_CASE("versions never decrease and all watchers converge in time") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    const std::size_t watcher_count = 1 + random.Below(8);
    WatcherSimulation simulation(watcher_count, random.Next());
    for (int step = 0; step < kFaultRounds; ++step) {
      simulation.SetFaults(RandomFaults(random, watcher_count));
      if (random.Below(2) == 0)
        simulation.Write();
      simulation.RunFor(milliseconds(random.Below(3000)));
    }

    simulation.SetFaults({});
    simulation.Write();
    simulation.RunFor(kInForceWithin);

    RC_ASSERT(simulation.InvariantsHold());
    RC_ASSERT(simulation.AllHaveLatestVersion());
  });

  CHECK(holds);
}

TEST_CASE(
    "a document is in force in time although both platform watchers die") {
  const bool holds = rc::check([](std::uint64_t seed) {
    WatcherSimulation simulation(7, seed);
    simulation.Write();
    simulation.RunFor(seconds(5));
    SimulationFaults faults;
    for (const std::size_t watcher : simulation.PlatformWatchers())
      faults.m_dead.insert(watcher);

    simulation.SetFaults(faults);
    simulation.Write();
    simulation.RunFor(kInForceWithin);

    RC_ASSERT(simulation.InvariantsHold());
    RC_ASSERT(simulation.AllHaveLatestVersion());
  });

  CHECK(holds);
}
