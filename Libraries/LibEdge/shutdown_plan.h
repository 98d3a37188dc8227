// When a balancer that was told to stop may exit: it leaves the rotation at
// once and forwards until the routers have noticed.

#ifndef LIBEDGE_SHUTDOWN_PLAN_H_
#define LIBEDGE_SHUTDOWN_PLAN_H_

#include <algorithm>
#include <chrono>

#include "LibBase/time.h"

namespace edge {

class ShutdownPlan {
 public:
  // Routers poll twice a second and take a balancer out after two misses; a
  // poll may be under way when the stop comes.
  static constexpr base::Duration kRotationExitTime =
      std::chrono::milliseconds(1600);
  // Without a packet for this long nothing is sent here any more.
  static constexpr base::Duration kQuietTime = std::chrono::milliseconds(600);
  // What is left of the grace for exiting in order.
  static constexpr base::Duration kExitReserve = std::chrono::milliseconds(500);

  ShutdownPlan(base::TimePoint started_at, base::Duration grace)
      : m_started_at(started_at),
        m_exit_by(started_at + grace - kExitReserve) {}

  // Queries.
  bool MayExit(base::TimePoint last_packet_at, base::TimePoint now) const {
    if (now >= m_exit_by)
      return true;
    return now >= m_started_at + kRotationExitTime &&
           now >= last_packet_at + kQuietTime;
  }

 private:
  base::TimePoint m_started_at;
  base::TimePoint m_exit_by;
};

}  // namespace edge

#endif  // LIBEDGE_SHUTDOWN_PLAN_H_
