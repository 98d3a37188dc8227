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

TEST_CASE("held packets come back in order, but not those given up since") {
  PendingPackets held;
  held.AddPacket(Bytes(1), At(0));
  held.AddPacket(Bytes(2), At(650));
  held.AddPacket(Bytes(3), At(700));

  const auto taken = held.ReleaseUnexpired(At(720));

  REQUIRE(taken.size() == 2);
  CHECK(taken[0].m_bytes[0] == 2);
  CHECK(taken[1].m_bytes[0] == 3);
  CHECK(held.size() == 0);
}

TEST_CASE("the oldest packet gives way when too many are held") {
  PendingPackets held;
  for (std::size_t i = 0; i <= PendingPackets::kMaximumPackets; ++i)
    held.AddPacket(Bytes(i == 0 ? 1 : 2), At(0));

  CHECK(held.size() == PendingPackets::kMaximumPackets);
  CHECK(held.ReleaseUnexpired(At(1)).front().m_bytes[0] == 2);
}

}  // namespace steering
