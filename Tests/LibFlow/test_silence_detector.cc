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

TEST_CASE("silent flows that pass random balancers are detected within 15 s") {
  testing::SilenceSimulation simulation(kBalancers, 1);
  for (std::uint32_t number = 1; number <= 20; ++number)
    simulation.AddFlow(number, {.m_is_silent = true});

  simulation.Run(kDetectionTime);

  CHECK(simulation.silent().size() == 20);
}

TEST_CASE("a single balancer detects silent flows") {
  testing::SilenceSimulation simulation(1, 1);
  simulation.AddFlow(1, {.m_is_silent = true});

  simulation.Run(kDetectionTime);

  CHECK(simulation.silent().size() == 1);
}

TEST_CASE(
    "a silent flow whose sender doubles its timeout is detected within 60 s") {
  testing::SilenceSimulation simulation(kBalancers, 1);
  for (std::uint32_t number = 1; number <= 20; ++number)
    simulation.AddFlow(
        number, {.m_is_silent = true, .m_greatest_timeout = seconds(120)});

  simulation.Run(seconds(60));

  CHECK(simulation.silent().size() == 20);
  MESSAGE("last silent flow detected after ",
          simulation.last_silent().time_since_epoch().count() / 1'000'000'000,
          " s");
}

TEST_CASE("lost messages between balancers only delay the detection") {
  testing::SilenceSimulation simulation(kBalancers, 2);
  simulation.SetMessageLoss(0.05);
  simulation.AddFlow(1, {.m_is_silent = true});

  simulation.Run(seconds(60));

  CHECK(simulation.silent().size() == 1);
}

TEST_CASE(
    "a watch without a reply is repeated without waiting for a repetition") {
  constexpr base::BalancerId kPeer(2);
  constexpr auto kStep = milliseconds(100);
  for (const bool is_answered : {false, true}) {
    base::TimePoint now;
    flow::SilenceDetector detector({}, now);
    flow::StreamPacket packet;
    packet.m_payload_bytes = 10;
    flow::StreamPacket answer;
    answer.m_sender = flow::StreamEnd::kServer;
    answer.m_acknowledged = 10;
    int requests = 0;
    for (int step = 0; step < 70; ++step, now += kStep) {
      // Sent three times, of which the last passes during the watch.
      if (step == 0 || step == 6 || step == 14)
        detector.Observe(packet, now);
      if (step == 14 && is_answered)
        detector.Observe(answer, now);
      requests += detector.Advance(now, {&kPeer, 1}).m_request ? 1 : 0;
    }

    CHECK(requests == (is_answered ? 1 : 2));
  }
}

TEST_CASE("no flow is reported silent without the replies of all balancers") {
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

TEST_CASE(
    "flows whose packets pass a paused balancer are not reported silent") {
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

TEST_CASE("no flow is reported silent at 2 to 10 % packet loss") {
  CHECK(testing::HoldsForAll("no flow is reported silent", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto percent = *rc::gen::inRange(2, 11);
    testing::SilenceSimulation simulation(kBalancers, seed);
    for (std::uint32_t number = 1; number <= 20; ++number)
      simulation.AddFlow(number, {.m_loss = percent / 100.0});

    simulation.Run(seconds(60));

    RC_ASSERT(simulation.silent().empty());
  }));
}

TEST_CASE("a mass loss causes no more control traffic than the budget") {
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
  MESSAGE("silent flows detected of 5000 in 60 s: ",
          simulation.silent().size());
}

TEST_CASE(
    "the table of retransmissions has a fixed size and returns their delay") {
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

TEST_CASE(
    "a flow that reuses the ports of an earlier one is no retransmission") {
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
