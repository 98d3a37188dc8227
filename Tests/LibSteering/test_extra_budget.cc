#include <doctest/doctest.h>

#include <chrono>
#include <deque>

#include "LibBase/random.h"
#include "LibSteering/extra_budget.h"
#include "LibSteering/recent_times.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

using std::chrono::milliseconds;

constexpr double kLightLoad = 0.5;

int TakeAll(ExtraBudget& budget, double load, int at_ms) {
  int taken = 0;
  while (budget.Take(load, At(at_ms)))
    ++taken;
  return taken;
}

ExtraBudget MakeBudget(double percent, int openings) {
  ExtraBudget budget(percent);
  for (int i = 0; i < openings; ++i)
    budget.CountOpening(At(i));
  return budget;
}

}  // namespace

TEST_CASE(
    "extra openings never exceed the percentage, also after a busy period") {
  for (const double percent : {1.0, 5.0, 20.0}) {
    ExtraBudget budget(percent);
    base::Random random(5);
    std::deque<int> openings;
    std::deque<int> extra;
    for (int now = 0; now < 60'000; now += 7) {
      // Busy and quiet periods of 4 s.
      if (random.Unit() < (now / 4000 % 2 == 0 ? 0.4 : 0.02)) {
        budget.CountOpening(At(now));
        openings.push_back(now);
      }
      while (!openings.empty() && openings.front() <= now - 10'000)
        openings.pop_front();
      while (!extra.empty() && extra.front() <= now - 10'000)
        extra.pop_front();
      if (!budget.Take(kLightLoad, At(now)))
        continue;
      extra.push_back(now);
      CHECK(100.0 * static_cast<double>(extra.size()) <=
            percent * static_cast<double>(openings.size()));
    }
    CHECK_FALSE(extra.empty());
  }
}

TEST_CASE("openings that left the window pay for no extra opening") {
  ExtraBudget budget = MakeBudget(5, 100);

  CHECK(TakeAll(budget, kLightLoad, 10'500) == 0);
}

TEST_CASE("the budget goes to zero under overload, and at 0 there is none") {
  const auto taken = [](double percent, double load) {
    ExtraBudget budget = MakeBudget(percent, 100);
    return TakeAll(budget, load, 100);
  };

  CHECK(taken(20, 1.5) == 20);
  CHECK(taken(20, 2.25) == 10);
  CHECK(taken(20, 3) == 0);
  CHECK(taken(20, 50) == 0);
  CHECK(taken(0, kLightLoad) == 0);
  CHECK(taken(90, kLightLoad) == 20);
}

TEST_CASE("a percentile of few or old times is not used") {
  RecentTimes times(64);
  for (int i = 1; i <= 19; ++i)
    times.Add(milliseconds(i), At(0));
  CHECK_FALSE(times.Percentile(95, At(0)));
  times.Add(milliseconds(900), At(0));

  CHECK(times.Percentile(95, At(0)) == milliseconds(19));
  CHECK(times.ShareAbove(milliseconds(100), At(0)) == 0.05);
  CHECK_FALSE(times.Percentile(95, At(60'001)));
  // Only the newest 64 times are kept.
  for (int i = 0; i < 64; ++i)
    times.Add(milliseconds(7), At(1));
  CHECK(times.Percentile(100, At(1)) == milliseconds(7));
}

}  // namespace steering
