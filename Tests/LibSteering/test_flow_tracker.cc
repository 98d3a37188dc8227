#include <doctest/doctest.h>

#include <chrono>

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

}  // namespace steering
