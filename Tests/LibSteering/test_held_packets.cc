#include <doctest/doctest.h>

#include <array>

#include "LibSteering/held_packets.h"
#include "LibSteering/steering_world.h"

namespace steering {

namespace {

std::array<std::uint8_t, 2> Bytes(std::uint8_t first) {
  return {first, 0};
}

}  // namespace

TEST_CASE("held packets come back in order, but not those given up since") {
  HeldPackets held;
  held.Hold(Bytes(1), At(0));
  held.Hold(Bytes(2), At(650));
  held.Hold(Bytes(3), At(700));

  const auto taken = held.Take(At(720));

  REQUIRE(taken.size() == 2);
  CHECK(taken[0].m_bytes[0] == 2);
  CHECK(taken[1].m_bytes[0] == 3);
  CHECK(held.size() == 0);
}

TEST_CASE("the oldest packet gives way when too many are held") {
  HeldPackets held;
  for (std::size_t i = 0; i <= HeldPackets::kMaximumPackets; ++i)
    held.Hold(Bytes(i == 0 ? 1 : 2), At(0));

  CHECK(held.size() == HeldPackets::kMaximumPackets);
  CHECK(held.Take(At(1)).front().m_bytes[0] == 2);
}

}  // namespace steering
