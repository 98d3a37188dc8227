#include "LibEventLoop/timer_driver.h"

namespace event_loop {

void TimerDriver::Rearm() {
  const auto deadline = m_timers.NextDeadline();
  if (!deadline)
    return;
  m_timer.expires_at(*deadline);
  m_timer.async_wait([this](const std::error_code& error) {
    if (error)
      return;
    m_timers.Advance(base::Clock::now());
    Rearm();
  });
}

}  // namespace event_loop
