#include <doctest/doctest.h>

#include <chrono>

#include "LibFlow/silence_simulation.h"
#include "property.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kBalancers = 6;
constexpr auto kDetectionTime = seconds(15);

}  // namespace

TEST_CASE("silent flows are found in 15 s, whatever balancers they pass") {
  testing::SilenceSimulation simulation(kBalancers, 1);
  for (std::uint32_t number = 1; number <= 20; ++number)
    simulation.AddFlow(number, {.m_is_silent = true});

  simulation.Run(kDetectionTime);

  CHECK(simulation.silent().size() == 20);
}

TEST_CASE("a balancer that is alone finds silent flows") {
  testing::SilenceSimulation simulation(1, 1);
  simulation.AddFlow(1, {.m_is_silent = true});

  simulation.Run(kDetectionTime);

  CHECK(simulation.silent().size() == 1);
}

TEST_CASE("a flow whose sender doubles its timeout is found in a minute") {
  testing::SilenceSimulation simulation(kBalancers, 1);
  for (std::uint32_t number = 1; number <= 20; ++number)
    simulation.AddFlow(
        number, {.m_is_silent = true, .m_greatest_timeout = seconds(120)});

  simulation.Run(seconds(60));

  CHECK(simulation.silent().size() == 20);
  MESSAGE("the last after ",
          simulation.last_silent().time_since_epoch().count() / 1'000'000'000,
          " s");
}

TEST_CASE("a lost message between balancers delays the verdict only") {
  testing::SilenceSimulation simulation(kBalancers, 2);
  simulation.SetMessageLoss(0.05);
  simulation.AddFlow(1, {.m_is_silent = true});

  simulation.Run(seconds(60));

  CHECK(simulation.silent().size() == 1);
}

TEST_CASE("no verdict without the sight of every balancer") {
  testing::SilenceSimulation simulation(kBalancers, 3);
  simulation.SetPaused(0, true);
  for (std::uint32_t number = 1; number <= 20; ++number)
    simulation.AddFlow(number, {.m_is_silent = true});

  simulation.Run(seconds(30));
  CHECK(simulation.silent().empty());

  simulation.SetPaused(0, false);
  simulation.Run(kDetectionTime);
  CHECK(simulation.silent().size() == 20);
}

TEST_CASE("flows whose packets pass a paused balancer are not reset") {
  testing::SilenceSimulation simulation(kBalancers, 4);
  for (std::uint32_t number = 1; number <= 200; ++number)
    simulation.AddFlow(number, {.m_loss = 0.02});

  for (std::size_t round = 0; round < 5; ++round) {
    simulation.SetPaused(round, true);
    simulation.Run(seconds(4));
    simulation.SetPaused(round, false);
    simulation.Run(seconds(8));
  }

  CHECK(simulation.silent().empty());
}

TEST_CASE("a receiver whose window is closed is not silent") {
  testing::SilenceSimulation simulation(kBalancers, 5);
  simulation.AddFlow(1, {.m_is_window_closed = true});

  simulation.Run(seconds(120));

  CHECK(simulation.silent().empty());
}

TEST_CASE("no flow is taken for silent at 2 to 10 % loss") {
  CHECK(testing::HoldsForAll("no false verdict", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto percent = *rc::gen::inRange(2, 11);
    testing::SilenceSimulation simulation(kBalancers, seed);
    for (std::uint32_t number = 1; number <= 20; ++number)
      simulation.AddFlow(number, {.m_loss = percent / 100.0});

    simulation.Run(seconds(60));

    RC_ASSERT(simulation.silent().empty());
  }));
}

TEST_CASE("a mass loss costs no more control traffic than the budget") {
  const flow::SilenceSettings settings;
  constexpr auto kDuration = seconds(60);
  testing::SilenceSimulation simulation(kBalancers, 6);
  for (std::uint32_t number = 1; number <= 5000; ++number)
    simulation.AddFlow(number, {.m_is_silent = true});

  simulation.Run(kDuration);

  CHECK(simulation.MaximumBytesSent() <=
        settings.m_burst_bytes +
            settings.m_bytes_per_second * kDuration.count());
  CHECK(simulation.silent().size() > 500);
  MESSAGE("found of 5000 in 60 s: ", simulation.silent().size());
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
