// Runs the timer service of the control thread on one Asio timer.

#ifndef LIBEVENTLOOP_TIMER_DRIVER_H_
#define LIBEVENTLOOP_TIMER_DRIVER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "LibBase/timer_service.h"

namespace event_loop {

class TimerDriver {
 public:
  explicit TimerDriver(asio::io_context& context) : m_timer(context) {}

  // A subscription that is made outside a callback of the service takes effect
  // at the next Rearm.
  base::TimerService& timers() { return m_timers; }
  // Sets the Asio timer to the next deadline of the service.
  void Rearm();

 private:
  base::TimerService m_timers;
  asio::steady_timer m_timer;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_TIMER_DRIVER_H_
