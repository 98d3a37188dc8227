#include <doctest/doctest.h>

#include <vector>

#include "LibBase/timer_service.h"

using std::chrono::seconds;

TEST_CASE("timers fire in order of their deadlines and not before") {
  base::TimerService timers;
  std::vector<int> fired;
  const base::TimePoint start;
  timers.SubscribeOnce(start + seconds(2), [&](auto) { fired.push_back(2); });
  timers.SubscribeOnce(start + seconds(1), [&](auto) { fired.push_back(1); });

  timers.Advance(start);
  CHECK(fired.empty());
  timers.Advance(start + seconds(2));

  CHECK(fired == std::vector<int>{1, 2});
  CHECK_FALSE(timers.NextDeadline());
}

TEST_CASE("a periodic timer fires once after several missed periods") {
  base::TimerService timers;
  int count = 0;
  const base::TimePoint start;
  timers.SubscribeEvery(start, seconds(1), [&](auto) { ++count; });

  timers.Advance(start + seconds(60));

  CHECK(count == 1);
  CHECK(timers.NextDeadline() == start + seconds(61));
}

TEST_CASE("a callback can cancel its own timer") {
  base::TimerService timers;
  int count = 0;
  base::TimerId id;
  const base::TimePoint start;
  id = timers.SubscribeEvery(start, seconds(1), [&](auto) {
    ++count;
    timers.Cancel(id);
  });

  timers.Advance(start);
  timers.Advance(start + seconds(5));

  CHECK(count == 1);
}
