// The timer service that parts of a process subscribe to. It keeps no clock
// and no thread: its owner calls Advance with the time and sleeps until
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
  // When the next timer is due, or nothing if no timer is set.
  std::optional<TimePoint> NextDeadline() const;

  // Commands.
  // Calls `callback` once, in the first Advance at or after `deadline`.
  TimerId SubscribeOnce(TimePoint deadline, Callback callback);
  // Calls `callback` every `period` from `first` on. After a pause of several
  // periods it is called once, not once for each period missed.
  TimerId SubscribeEvery(TimePoint first, Duration period, Callback callback);
  // Does nothing for a timer that has gone.
  void Cancel(TimerId id);
  // Calls what is due, in order of deadline. Callbacks may subscribe and
  // cancel.
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
