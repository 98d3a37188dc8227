#include <doctest/doctest.h>

#include <chrono>

#include "LibSteering/flow_tracker.h"
#include "LibSteering/steering_world.h"

namespace steering {

namespace {

constexpr base::Duration kTimeout = std::chrono::milliseconds(1500);

struct TrackerWorld {
  TrackerWorld() {
    m_directory.Apply(MakeServer("i-1"), At(0));
    m_server = m_directory.FindByName(ServerName("i-1"));
  }

  Progress Observe(std::uint32_t sequence,
                   std::uint32_t acknowledgement,
                   std::uint16_t bytes,
                   int at) {
    return m_tracker
        .Observe(MakeData(1, m_server->m_tokens[0], sequence, acknowledgement,
                          bytes),
                 *m_server, kTimeout, At(at))
        .m_progress;
  }

  ServerDirectory m_directory;
  FlowTracker m_tracker{m_directory};
  KnownServer* m_server = nullptr;
};

}  // namespace

TEST_CASE("a request is in progress from its data to the answer's first byte") {
  TrackerWorld world;
  world.m_tracker.Open(MakeOpening(1).m_flow, *world.m_server, kTimeout, At(0));
  CHECK(world.m_server->m_requests_in_progress == 1);

  CHECK(world.Observe(101, 500, 0, 4) == Progress::kAnswer);
  CHECK(world.m_server->m_requests_in_progress == 0);
  CHECK(world.Observe(101, 500, 80, 4) == Progress::kRequest);
  CHECK(world.m_server->m_requests_in_progress == 1);
  CHECK(world.Observe(101, 500, 80, 204) == Progress::kRepeat);
  CHECK(world.Observe(181, 1700, 0, 210) == Progress::kAnswer);
  CHECK(world.m_server->m_requests_in_progress == 0);
  CHECK(world.m_server->m_flows == 1);
}

TEST_CASE(
    "the first packet of a flow that another balancer opened is no sign "
    "of life") {
  TrackerWorld world;

  CHECK(world.Observe(101, 500, 80, 0) == Progress::kRequest);
  CHECK(world.Observe(101, 500, 80, 200) == Progress::kRepeat);
  CHECK(world.Observe(181, 900, 0, 210) == Progress::kAnswer);
}

TEST_CASE("sequence numbers that wrap around are still new data") {
  TrackerWorld world;
  world.Observe(0xFFFFFFF0, 1, 8, 0);

  CHECK(world.Observe(0xFFFFFFF8, 1, 16, 1) == Progress::kRequest);
  CHECK(world.Observe(8, 1, 8, 2) == Progress::kRequest);
  CHECK(world.Observe(0xFFFFFFF8, 1, 16, 3) == Progress::kRepeat);
}

TEST_CASE(
    "a request that its caller gave up, a flow at rest and an end count "
    "no more") {
  TrackerWorld world;
  world.Observe(100, 1, 8, 0);
  CHECK(world.m_server->m_requests_in_progress == 1);

  world.m_tracker.Sweep(std::chrono::seconds(15), At(1600));
  CHECK(world.m_server->m_requests_in_progress == 0);
  CHECK(world.m_server->m_flows == 1);
  world.m_tracker.Sweep(std::chrono::seconds(15), At(3100));
  CHECK(world.m_server->m_flows == 0);
  CHECK(world.m_tracker.size() == 1);
  world.m_tracker.Sweep(std::chrono::seconds(15), At(15'100));
  CHECK(world.m_tracker.size() == 0);
}

TEST_CASE("the end of a flow takes its load from the server") {
  TrackerWorld world;
  world.Observe(100, 1, 8, 0);
  CallerPacket end = MakeData(1, world.m_server->m_tokens[0], 108, 9, 0);
  end.m_is_end = true;

  CHECK(world.m_tracker.Observe(end, *world.m_server, kTimeout, At(5))
            .m_progress == Progress::kEnd);
  CHECK(world.m_server->m_requests_in_progress == 0);
  CHECK(world.m_server->m_flows == 0);
}

TEST_CASE("an opening that moves takes its load along") {
  TrackerWorld world;
  world.m_directory.Apply(MakeServer("i-2"), At(0));
  KnownServer* other = world.m_directory.FindByName(ServerName("i-2"));
  FlowRecord* record = world.m_tracker.Open(MakeOpening(1).m_flow,
                                            *world.m_server, kTimeout, At(0));

  world.m_tracker.MoveTo(*record, *other);

  CHECK(world.m_server->m_requests_in_progress == 0);
  CHECK(other->m_requests_in_progress == 1);
  CHECK(other->m_flows == 1);
}

}  // namespace steering
