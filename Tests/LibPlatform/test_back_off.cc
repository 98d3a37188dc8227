#include <doctest/doctest.h>

#include <chrono>

#include "LibPlatform/back_off.h"

using namespace std::chrono_literals;

TEST_CASE("delays double up to the maximum and restart after a reset") {
  platform::BackOff back_off(10ms, 100ms);
  base::Random random(7);

  for (const base::Duration step : {10ms, 20ms, 40ms, 80ms, 100ms, 100ms}) {
    const base::Duration wait = back_off.Next(random);
    CHECK(wait >= step / 2);
    CHECK(wait <= step);
  }
  back_off.Reset();
  CHECK(back_off.Next(random) <= 10ms);
}

TEST_CASE("delays are spread evenly over the upper half of their step") {
  constexpr int kWaits = 1000;
  platform::BackOff back_off(40ms, 40ms);
  base::Random random(7);
  int under_middle = 0;
  for (int wait = 0; wait < kWaits; ++wait)
    under_middle += back_off.Next(random) < 30ms ? 1 : 0;
  CHECK(under_middle > kWaits / 2 - 100);
  CHECK(under_middle < kWaits / 2 + 100);
}
