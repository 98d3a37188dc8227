// One timer of the timer service, made for a deadline that changes often.

#ifndef STANDINS_DEADLINE_TIMER_H_
#define STANDINS_DEADLINE_TIMER_H_

#include <functional>
#include <optional>

#include "LibBase/time.h"
#include "LibBase/timer_service.h"

namespace stand_ins {

class DeadlineTimer {
 public:
  using Callback = std::function<void(base::TimePoint now)>;

  // `timers` must outlive this object.
  DeadlineTimer(base::TimerService* timers, Callback callback);
  ~DeadlineTimer();
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  // Runs the callback once, at the deadline or earlier. A later deadline does
  // not reschedule the timer, so the callback checks which work is due.
  void RunBy(std::optional<base::TimePoint> deadline);

 private:
  void Cancel();

  base::TimerService* m_timers;
  Callback m_callback;
  std::optional<base::TimePoint> m_due;
  base::TimerId m_timer;
};

}  // namespace stand_ins

#endif  // STANDINS_DEADLINE_TIMER_H_
