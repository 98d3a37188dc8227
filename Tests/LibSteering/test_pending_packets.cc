#include <doctest/doctest.h>

#include <array>

#include "LibSteering/pending_packets.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

std::array<std::uint8_t, 2> Bytes(std::uint8_t first) {
  return {first, 0};
}

}  // namespace

TEST_CASE(
    "pending packets are released in order without those that are too old") {
  PendingPackets pending_packets;
  pending_packets.AddPacket(Bytes(1), At(0));
  pending_packets.AddPacket(Bytes(2), At(650));
  pending_packets.AddPacket(Bytes(3), At(700));

  const auto released = pending_packets.ReleaseUnexpired(At(720));

  REQUIRE(released.size() == 2);
  CHECK(released[0].m_bytes[0] == 2);
  CHECK(released[1].m_bytes[0] == 3);
  CHECK(pending_packets.size() == 0);
}

TEST_CASE("a full buffer drops its oldest packet for a new one") {
  PendingPackets pending_packets;
  for (std::size_t i = 0; i <= PendingPackets::kMaximumPackets; ++i)
    pending_packets.AddPacket(Bytes(i == 0 ? 1 : 2), At(0));

  CHECK(pending_packets.size() == PendingPackets::kMaximumPackets);
  CHECK(pending_packets.ReleaseUnexpired(At(1)).front().m_bytes[0] == 2);
}

}  // namespace steering
