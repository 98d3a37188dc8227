#include <doctest/doctest.h>

#include <chrono>

#include "LibFeed/transfer_budget.h"

namespace feed {

TEST_CASE("60 followers that fetch a view leave the link to the callers") {
  // A quarter of 20 Mbit/s, and a view of 3,000 servers.
  constexpr double kBytesPerSecond = 625'000;
  constexpr std::size_t kViewBytes = 225'000;
  constexpr int kFollowers = 60;
  const base::TimePoint start{std::chrono::hours(1)};
  TransferBudget budget(kBytesPerSecond, start);
  std::size_t sent = 0;

  // Each follower tries five times a second for two seconds.
  for (int tenth = 0; tenth < 20; tenth += 2) {
    const base::TimePoint now = start + std::chrono::milliseconds(100 * tenth);
    for (int follower = 0; follower < kFollowers; ++follower)
      sent += budget.Take(kViewBytes, now) ? kViewBytes : 0;
  }

  // What was saved up, two seconds' worth, and one transfer over it.
  CHECK(sent <= 3 * kBytesPerSecond + kViewBytes);
  CHECK(sent >= 2 * kBytesPerSecond);
}

TEST_CASE("a transfer larger than the budget is made, and the next one waits") {
  const base::TimePoint start{std::chrono::hours(1)};
  TransferBudget budget(1000, start);

  CHECK(budget.Take(5000, start));
  CHECK_FALSE(budget.Take(1, start + std::chrono::seconds(3)));
  CHECK(budget.Take(1, start + std::chrono::seconds(6)));
}

}  // namespace feed
