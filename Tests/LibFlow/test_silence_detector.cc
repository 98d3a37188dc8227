#include <doctest/doctest.h>

#include <chrono>

#include "LibFlow/silence_simulation.h"
#include "property.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kBalancers = 6;
constexpr auto kTarget = seconds(15);

}  // namespace

TEST_CASE("silent flows are found in 15 s, whatever balancers they pass") {
  testing::SilenceSimulation world(kBalancers, 1);
  for (std::uint32_t number = 1; number <= 20; ++number)
    world.AddFlow(number, {.m_is_silent = true});

  world.Run(kTarget);

  CHECK(world.silent().size() == 20);
}

TEST_CASE("a balancer that is alone finds silent flows") {
  testing::SilenceSimulation world(1, 1);
  world.AddFlow(1, {.m_is_silent = true});

  world.Run(kTarget);

  CHECK(world.silent().size() == 1);
}

TEST_CASE("a flow whose sender doubles its timeout is found in a minute") {
  testing::SilenceSimulation world(kBalancers, 1);
  for (std::uint32_t number = 1; number <= 20; ++number)
    world.AddFlow(number,
                  {.m_is_silent = true, .m_greatest_timeout = seconds(120)});

  world.Run(seconds(60));

  CHECK(world.silent().size() == 20);
  MESSAGE("the last after ",
          world.last_silent().time_since_epoch().count() / 1'000'000'000, " s");
}

TEST_CASE("a lost message between balancers delays the verdict only") {
  testing::SilenceSimulation world(kBalancers, 2);
  world.SetMessageLoss(0.05);
  world.AddFlow(1, {.m_is_silent = true});

  world.Run(seconds(60));

  CHECK(world.silent().size() == 1);
}

TEST_CASE("no verdict without the sight of every balancer") {
  testing::SilenceSimulation world(kBalancers, 3);
  world.SetPaused(0, true);
  for (std::uint32_t number = 1; number <= 20; ++number)
    world.AddFlow(number, {.m_is_silent = true});

  world.Run(seconds(30));
  CHECK(world.silent().empty());

  world.SetPaused(0, false);
  world.Run(kTarget);
  CHECK(world.silent().size() == 20);
}

TEST_CASE("flows whose packets pass a paused balancer are not reset") {
  testing::SilenceSimulation world(kBalancers, 4);
  for (std::uint32_t number = 1; number <= 200; ++number)
    world.AddFlow(number, {.m_loss = 0.02});

  for (std::size_t round = 0; round < 5; ++round) {
    world.SetPaused(round, true);
    world.Run(seconds(4));
    world.SetPaused(round, false);
    world.Run(seconds(8));
  }

  CHECK(world.silent().empty());
}

TEST_CASE("a receiver whose window is closed is not silent") {
  testing::SilenceSimulation world(kBalancers, 5);
  world.AddFlow(1, {.m_is_window_closed = true});

  world.Run(seconds(120));

  CHECK(world.silent().empty());
}

TEST_CASE("no flow is taken for silent at 2 to 10 % loss") {
  CHECK(testing::HoldsForAll("no false verdict", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto percent = *rc::gen::inRange(2, 11);
    testing::SilenceSimulation world(kBalancers, seed);
    for (std::uint32_t number = 1; number <= 20; ++number)
      world.AddFlow(number, {.m_loss = percent / 100.0});

    world.Run(seconds(60));

    RC_ASSERT(world.silent().empty());
  }));
}

TEST_CASE("a mass loss costs no more control traffic than the budget") {
  const flow::SilenceSettings settings;
  constexpr auto kDuration = seconds(60);
  testing::SilenceSimulation world(kBalancers, 6);
  for (std::uint32_t number = 1; number <= 5000; ++number)
    world.AddFlow(number, {.m_is_silent = true});

  world.Run(kDuration);

  CHECK(world.MostBytesSent() <=
        settings.m_burst_bytes +
            settings.m_bytes_per_second * kDuration.count());
  CHECK(world.silent().size() > 500);
  MESSAGE("found of 5000 in 60 s: ", world.silent().size());
}

TEST_CASE("the sightings take a fixed amount of memory") {
  const flow::SilenceSettings settings;
  flow::RetransmissionTable table(base::TimePoint(),
                                  settings.m_retransmission_slots);
  flow::StreamPacket packet;
  packet.m_hash = 7;
  packet.m_position = 5;
  packet.m_payload_bytes = 10;

  CHECK(table.allocated_bytes() <= 2U << 20);
  CHECK(table.Record(packet, base::TimePoint()) == base::Duration::zero());
  CHECK(table.Record(packet, base::TimePoint(seconds(2))) == seconds(2));
  packet.m_sender = flow::StreamEnd::kServer;
  CHECK(table.Record(packet, base::TimePoint(seconds(3))) ==
        base::Duration::zero());
}

TEST_CASE("a flow that uses the ports of a former one does not repeat it") {
  const flow::SilenceSettings settings;
  flow::RetransmissionTable table(base::TimePoint(),
                                  settings.m_retransmission_slots);
  flow::StreamPacket packet;
  packet.m_hash = 7;
  packet.m_payload_bytes = 10;
  packet.m_position = 0x40000000U;
  table.Record(packet, base::TimePoint());

  packet.m_position = 0x30000000U;

  CHECK(table.Record(packet, base::TimePoint(seconds(2))) ==
        base::Duration::zero());
}
