#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr base::Duration kTimeout = std::chrono::milliseconds(1500);

struct TrackerFixture {
  TrackerFixture() {
    m_directory.Apply(MakeServer("i-1"), At(0));
    m_server = m_directory.FindByName(ServerName("i-1"));
  }

  PacketKind RecordPacket(std::uint32_t sequence,
                          std::uint32_t acknowledgement,
                          std::uint16_t bytes,
                          int at) {
    return m_tracker
        .RecordPacket(MakeData(1, m_server->m_tokens[0], sequence,
                               acknowledgement, bytes),
                      *m_server, kTimeout, At(at))
        .m_packet_kind;
  }

  ServerDirectory m_directory;
  FlowTracker m_tracker{m_directory};
  KnownServer* m_server = nullptr;
};

}  // namespace

TEST_CASE(
    "a request is in progress from its data until the first byte of its answer "
    "is acknowledged") {
  TrackerFixture fixture;
  fixture.m_tracker.RecordOpening(MakeOpening(1).m_flow, *fixture.m_server,
                                  kTimeout, At(0));
  CHECK(fixture.m_server->m_requests_in_progress == 1);

  CHECK(fixture.RecordPacket(101, 500, 0, 4) == PacketKind::kAnswer);
  CHECK(fixture.m_server->m_requests_in_progress == 0);
  CHECK(fixture.RecordPacket(101, 500, 80, 4) == PacketKind::kRequest);
  CHECK(fixture.m_server->m_requests_in_progress == 1);
  CHECK(fixture.RecordPacket(101, 500, 80, 204) == PacketKind::kRetransmission);
  CHECK(fixture.RecordPacket(181, 1700, 0, 210) == PacketKind::kAnswer);
  CHECK(fixture.m_server->m_requests_in_progress == 0);
  CHECK(fixture.m_server->m_flows == 1);
}

TEST_CASE(
    "the first packet of a flow that another balancer opened does not count "
    "as an answer") {
  TrackerFixture fixture;

  CHECK(fixture.RecordPacket(101, 500, 80, 0) == PacketKind::kRequest);
  CHECK(fixture.RecordPacket(101, 500, 80, 200) == PacketKind::kRetransmission);
  CHECK(fixture.RecordPacket(181, 900, 0, 210) == PacketKind::kAnswer);
}

TEST_CASE("data whose sequence numbers wrap around counts as new") {
  TrackerFixture fixture;
  fixture.RecordPacket(0xFFFFFFF0, 1, 8, 0);

  CHECK(fixture.RecordPacket(0xFFFFFFF8, 1, 16, 1) == PacketKind::kRequest);
  CHECK(fixture.RecordPacket(8, 1, 8, 2) == PacketKind::kRequest);
  CHECK(fixture.RecordPacket(0xFFFFFFF8, 1, 16, 3) ==
        PacketKind::kRetransmission);
}

TEST_CASE(
    "overdue requests and inactive flows stop counting as load, and idle flows "
    "are removed") {
  TrackerFixture fixture;
  fixture.RecordPacket(100, 1, 8, 0);
  CHECK(fixture.m_server->m_requests_in_progress == 1);

  fixture.m_tracker.Sweep(std::chrono::seconds(15), At(1600));
  CHECK(fixture.m_server->m_requests_in_progress == 0);
  CHECK(fixture.m_server->m_flows == 1);
  fixture.m_tracker.Sweep(std::chrono::seconds(15), At(3100));
  CHECK(fixture.m_server->m_flows == 0);
  CHECK(fixture.m_tracker.size() == 1);
  fixture.m_tracker.Sweep(std::chrono::seconds(15), At(15'100));
  CHECK(fixture.m_tracker.size() == 0);
}

TEST_CASE("the end of a flow removes its load from the server") {
  TrackerFixture fixture;
  fixture.RecordPacket(100, 1, 8, 0);
  CallerPacket end = MakeData(1, fixture.m_server->m_tokens[0], 108, 9, 0);
  end.m_is_end = true;

  CHECK(fixture.m_tracker.RecordPacket(end, *fixture.m_server, kTimeout, At(5))
            .m_packet_kind == PacketKind::kEnd);
  CHECK(fixture.m_server->m_requests_in_progress == 0);
  CHECK(fixture.m_server->m_flows == 0);
}

TEST_CASE("an opening that moves to another server moves its load") {
  TrackerFixture fixture;
  fixture.m_directory.Apply(MakeServer("i-2"), At(0));
  KnownServer* other = fixture.m_directory.FindByName(ServerName("i-2"));
  FlowRecord* record = fixture.m_tracker.RecordOpening(
      MakeOpening(1).m_flow, *fixture.m_server, kTimeout, At(0));

  fixture.m_tracker.Reassign(*record, *other);

  CHECK(fixture.m_server->m_requests_in_progress == 0);
  CHECK(other->m_requests_in_progress == 1);
  CHECK(other->m_flows == 1);
}

TEST_CASE("no order of events leaves the load of a removed flow on a server") {
  constexpr int kSteps = 20'000;
  constexpr std::uint64_t kFlows = 40;
  constexpr std::uint64_t kStepMs = 1000;
  base::Random random(20261204);
  ServerDirectory directory;
  FlowTracker tracker(directory);
  const std::vector<std::string> names = {"i-1", "i-2", "i-3"};
  int now_ms = 0;
  std::uint64_t revision = 0;
  std::size_t swept = 0;
  for (int step = 0; step < kSteps; ++step) {
    now_ms += static_cast<int>(random.Below(kStepMs));
    const std::string& name = names[random.Below(names.size())];
    KnownServer* server = directory.FindByName(ServerName(name));
    const auto caller = static_cast<std::uint16_t>(1 + random.Below(kFlows));
    const auto event = random.Below(20);
    if (event == 0 || server == nullptr) {
      directory.Apply(MakeServer(name, ++revision), At(now_ms));
    } else if (event == 1) {
      directory.Remove(ServerName(name), At(now_ms));
    } else if (event == 2) {
      // The server may be purged 60 s after it left, while flows refer to it.
      now_ms += random.Below(10) == 0 ? 61'000 : 0;
      directory.PurgeGoneServers(At(now_ms));
    } else if (event < 5) {
      const std::size_t before = tracker.size();
      tracker.Sweep(std::chrono::seconds(15), At(now_ms));
      swept += before - tracker.size();
    } else if (event < 8) {
      tracker.RecordOpening(MakeOpening(caller).m_flow, *server, kTimeout,
                            At(now_ms));
    } else if (event == 8) {
      FlowRecord* record = tracker.Find(MakeOpening(caller).m_flow);
      if (record != nullptr)
        tracker.Reassign(*record, *server);
    } else {
      CallerPacket packet = MakeData(
          caller, server->m_tokens[0], static_cast<std::uint32_t>(step),
          static_cast<std::uint32_t>(step), event % 2 == 0 ? 8 : 0);
      packet.m_is_end = event == 9;
      tracker.RecordPacket(packet, *server, kTimeout, At(now_ms));
    }

    for (const std::string& each : names) {
      const KnownServer* counted = directory.FindByName(ServerName(each));
      if (counted == nullptr)
        continue;
      std::uint32_t active = 0;
      std::uint32_t in_progress = 0;
      for (const auto& [key, record] : tracker.flows()) {
        const bool is_own = record.m_server == counted->m_handle;
        active += is_own && record.m_is_active ? 1 : 0;
        in_progress += is_own && record.m_is_request_in_progress ? 1 : 0;
      }
      REQUIRE(counted->m_flows == active);
      REQUIRE(counted->m_requests_in_progress == in_progress);
    }
  }
  CHECK(swept > 0);
}

}  // namespace steering
