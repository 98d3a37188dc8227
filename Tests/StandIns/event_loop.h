// The single-threaded event loop of a stand-in: alternates between Asio's
// events and the timers.

#ifndef STANDINS_EVENT_LOOP_H_
#define STANDINS_EVENT_LOOP_H_

#include <asio.hpp>

#include "LibBase/time.h"
#include "LibBase/timer_service.h"

namespace stand_ins {

class EventLoop {
 public:
  // Queries.
  static base::TimePoint Now() { return base::Clock::now(); }

  // Commands.
  asio::io_context& Context() { return m_context; }
  base::TimerService& Timers() { return m_timers; }
  // Runs until Stop or SIGTERM.
  void Run();
  void Stop() { m_stopped = true; }

 private:
  asio::io_context m_context{1};
  base::TimerService m_timers;
  bool m_stopped = false;
};

}  // namespace stand_ins

#endif  // STANDINS_EVENT_LOOP_H_
