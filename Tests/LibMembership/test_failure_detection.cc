#include <doctest/doctest.h>

#include "LibMembership/simulated_network.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::Duration kKillDetectionBound = milliseconds(1'500);
constexpr std::size_t kMembers = 7;

// Starts a data centre of serving members and runs until all know one another.
void StartAndConverge(SimulatedNetwork& network,
                      std::size_t members = kMembers) {
  for (std::uint32_t address = 1; address <= members; ++address)
    network.At(network.Start(address)).m_membership->Serve();
  network.SendVmList(network.MakeVmList());
  network.RunUntil([&] { return network.HasConverged(); }, seconds(10));
  REQUIRE(network.HasConverged());
  network.Run(seconds(1));
  REQUIRE(network.HasConverged());
}

base::Duration TimeToConverge(SimulatedNetwork& network, base::Duration limit) {
  return network.RunUntil([&] { return network.HasConverged(); }, limit);
}

}  // namespace

TEST_CASE("a killed member is removed from the live members within 1.5 s") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network, seed % 2 == 0 ? 6 : 7);

    network.At(seed % 6).m_is_running = false;
    const auto elapsed = TimeToConverge(network, seconds(5));

    CHECK_MESSAGE(elapsed <= kKillDetectionBound, "seed ", seed, ": ",
                  elapsed / milliseconds(1), " ms");
    CHECK(network.RemovedEffects() == (seed % 2 == 0 ? 5 : 6));
  }
}

TEST_CASE("two members killed at once are removed within 1.5 s") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);

    network.At(1).m_is_running = false;
    network.At(4).m_is_running = false;
    const auto elapsed = TimeToConverge(network, seconds(5));

    CHECK_MESSAGE(elapsed <= kKillDetectionBound, "seed ", seed, ": ",
                  elapsed / milliseconds(1), " ms");
  }
}

TEST_CASE(
    "10% packet loss and 20 ms jitter remove no live member in ten minutes") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);
    network.m_loss = 0.1;
    network.m_jitter = milliseconds(20);

    network.Run(minutes(10));

    CHECK_MESSAGE(network.RemovedEffects() == 0, "seed ", seed);
  }
}

TEST_CASE("all members learn of a planned leave within 500 ms") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);
    network.m_loss = 0.1;

    network.At(3).m_membership->Leave();
    const auto elapsed = TimeToConverge(network, seconds(5));

    CHECK_MESSAGE(elapsed <= milliseconds(500), "seed ", seed, ": ",
                  elapsed / milliseconds(1), " ms");
  }
}

TEST_CASE(
    "both sides of a partition converge separately and merge afterwards") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);

    for (std::size_t index = 0; index < 3; ++index)
      network.At(index).m_partition = 1;
    const auto time_to_split = TimeToConverge(network, seconds(10));
    network.Run(minutes(2));
    CHECK(network.HasConverged());
    for (std::size_t index = 0; index < 3; ++index)
      network.At(index).m_partition = 0;
    const auto time_to_merge = TimeToConverge(network, seconds(20));

    CHECK_MESSAGE(time_to_split <= seconds(3), "seed ", seed);
    CHECK_MESSAGE(time_to_merge <= seconds(5), "seed ", seed);
  }
}

TEST_CASE(
    "a paused member is isolated on resuming, reports the pause and rejoins") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);
    auto& paused = network.At(2);

    paused.m_is_paused = true;
    network.RunUntil([&] { return network.HasConverged(); },
                     kKillDetectionBound);
    CHECK(network.HasConverged());
    network.Run(minutes(1));
    CHECK(paused.m_membership->TimeSinceAdvance(network.Now()) >= minutes(1));
    CHECK(paused.m_membership->IsIsolated(network.Now(), seconds(2)));
    paused.m_is_paused = false;
    const auto elapsed = TimeToConverge(network, seconds(20));

    CHECK_MESSAGE(elapsed <= seconds(2), "seed ", seed);
    CHECK(paused.m_pauses == 1);
    network.Run(milliseconds(500));
    CHECK_FALSE(paused.m_membership->IsIsolated(network.Now(), seconds(2)));
  }
}

TEST_CASE("a rolling replacement of all members keeps every view converged") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);

    for (std::size_t index = 0; index < kMembers; ++index) {
      const auto added = network.Start(100 + index);
      network.SendVmList(network.MakeVmList());
      auto& joining = *network.At(added).m_membership;
      const auto has_complete_view = [&] {
        return joining.HasCompleteView(network.Now());
      };
      CHECK(network.RunUntil(has_complete_view, seconds(10)) <= seconds(1));
      joining.Serve();
      CHECK(TimeToConverge(network, seconds(10)) <= milliseconds(500));
      network.At(index).m_membership->Leave();
      CHECK(TimeToConverge(network, seconds(10)) <= milliseconds(500));
      network.At(index).m_is_running = false;
      network.Run(seconds(2));
      CHECK(network.HasConverged());
    }
  }
}

TEST_CASE(
    "a member that restarts at its endpoint replaces its earlier run at once") {
  SimulatedNetwork network(5);
  StartAndConverge(network);

  network.At(3).m_is_running = false;
  const auto restarted = network.Start(4);
  network.At(restarted).m_membership->Serve();
  network.SendVmList(network.MakeVmList());

  CHECK(TimeToConverge(network, seconds(5)) <= milliseconds(500));
}

TEST_CASE(
    "a VM list that is 10 s old delays only balancers that join through it") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork network(seed);
    StartAndConverge(network);
    const auto old_list = network.MakeVmList();

    network.At(0).m_is_running = false;
    const auto added = network.Start(50);
    network.At(added).m_membership->Serve();
    network.SendVmList(old_list);
    const auto elapsed = TimeToConverge(network, seconds(20));
    network.Run(seconds(10));

    CHECK_MESSAGE(elapsed <= seconds(2), "seed ", seed);
    CHECK(network.HasConverged());
    CHECK_FALSE(
        network.At(1).m_membership->IsIsolated(network.Now(), seconds(2)));
  }
}

TEST_CASE(
    "100 members learn of a kill within 3 s and of a leave within 500 ms") {
  SimulatedNetwork network(6);
  StartAndConverge(network, 100);
  network.m_loss = 0.01;

  network.At(17).m_is_running = false;
  CHECK(TimeToConverge(network, seconds(10)) <= seconds(3));
  network.At(40).m_membership->Leave();
  CHECK(TimeToConverge(network, seconds(10)) <= milliseconds(500));

  CHECK(network.RemovedEffects() == 99);
}
