#include "StandIns/deadline_timer.h"

#include <utility>

namespace stand_ins {

DeadlineTimer::DeadlineTimer(base::TimerService* timers, Callback callback)
    : m_timers(timers), m_callback(std::move(callback)) {}

DeadlineTimer::~DeadlineTimer() {
  Cancel();
}

void DeadlineTimer::RunBy(std::optional<base::TimePoint> deadline) {
  if (!deadline || (m_due && *m_due <= *deadline))
    return;
  Cancel();
  m_due = deadline;
  m_timer = m_timers->SubscribeOnce(*deadline, [this](base::TimePoint now) {
    m_due.reset();
    // The callback is copied because it may destroy this object.
    const Callback callback = m_callback;
    callback(now);
  });
}

void DeadlineTimer::Cancel() {
  if (m_due)
    m_timers->Cancel(m_timer);
  m_due.reset();
}

}  // namespace stand_ins
