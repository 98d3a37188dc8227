// Calls callbacks at set times. The service reads no clock and has no thread:
// its owner calls Advance with the current time and then sleeps until
// NextDeadline.

#ifndef LIBBASE_TIMER_SERVICE_H_
#define LIBBASE_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "LibBase/strong_id.h"
#include "LibBase/time.h"

namespace base {

using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  // Queries.
  // Returns when the next timer is due, or nullopt if no timer is set.
  std::optional<TimePoint> NextDeadline() const;

  // Commands.
  // Calls `callback` once, in the first Advance at or after `deadline`.
  TimerId SubscribeOnce(TimePoint deadline, Callback callback);
  // Calls `callback` every `period` from `first` on. `period` must be positive.
  // If Advance was not called for several periods, `callback` runs once, not
  // once for each missed period.
  TimerId SubscribeEvery(TimePoint first, Duration period, Callback callback);
  // Does nothing if the timer was cancelled or has fired for the last time.
  void Cancel(TimerId id);
  // Calls the callbacks of all due timers in order of deadline. A callback may
  // set and cancel timers.
  void Advance(TimePoint now);

 private:
  struct Timer {
    std::optional<Duration> m_period;
    Callback m_callback;
  };
  using Key = std::pair<TimePoint, TimerId>;

  TimerId Insert(TimePoint deadline, Timer timer);

  std::map<Key, Timer> m_timers;
  std::map<TimerId, TimePoint> m_deadlines;
  std::uint64_t m_next_id = 1;
};

}  // namespace base

#endif  // LIBBASE_TIMER_SERVICE_H_
