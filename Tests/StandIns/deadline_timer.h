// One timer of the timer service whose deadline moves often.

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

  // Makes the callback run at the deadline or sooner, once. A deadline that
  // moves later costs nothing; the callback looks at what is due.
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
