// Randomised runs of several followers under loss, lag, outages and pauses.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibPlatform/follower_world.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The stated target for an accepted document.
constexpr auto kInForceWithin = seconds(4);
constexpr int kDisturbances = 12;

WorldFaults RandomFaults(base::Random& random, std::size_t followers) {
  WorldFaults faults;
  faults.m_loss = random.Below(60);
  faults.m_lag = milliseconds(random.Below(2000));
  faults.m_platform_is_down = random.Below(3) == 0;
  for (std::size_t index = 0; index < followers; ++index) {
    if (random.Below(3) == 0)
      faults.m_cut_from_platform.insert(index);
    if (random.Below(5) == 0)
      faults.m_frozen.insert(index);
  }
  return faults;
}

}  // namespace

TEST_CASE("versions never revert and all followers converge in time") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    const std::size_t followers = 1 + random.Below(8);
    FollowerWorld world(followers, random.Next());
    for (int step = 0; step < kDisturbances; ++step) {
      world.SetFaults(RandomFaults(random, followers));
      if (random.Below(2) == 0)
        world.Write();
      world.RunFor(milliseconds(random.Below(3000)));
    }

    world.SetFaults({});
    world.Write();
    world.RunFor(kInForceWithin);

    RC_ASSERT(world.IsSound());
    RC_ASSERT(world.AllHaveLatest());
  });

  CHECK(holds);
}

TEST_CASE("a document is in force in time though both watchers die") {
  const bool holds = rc::check([](std::uint64_t seed) {
    FollowerWorld world(7, seed);
    world.Write();
    world.RunFor(seconds(5));
    WorldFaults faults;
    for (const std::size_t watcher : world.Watchers())
      faults.m_dead.insert(watcher);

    world.SetFaults(faults);
    world.Write();
    world.RunFor(kInForceWithin);

    RC_ASSERT(world.IsSound());
    RC_ASSERT(world.AllHaveLatest());
  });

  CHECK(holds);
}
