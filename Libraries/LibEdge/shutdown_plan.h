// Decides when a balancer that received SIGTERM or SIGINT may exit. The
// balancer reports itself as not ready at once, and forwards packets until the
// routers have removed it from the rotation.

#ifndef LIBEDGE_SHUTDOWN_PLAN_H_
#define LIBEDGE_SHUTDOWN_PLAN_H_

#include <algorithm>
#include <chrono>

#include "LibBase/time.h"

namespace edge {

class ShutdownPlan {
 public:
  // The routers poll readiness twice a second and remove a balancer after two
  // failed polls. A poll may be in progress when the shutdown starts.
  static constexpr base::Duration kRotationExitTime =
      std::chrono::milliseconds(1600);
  // If no packet arrives for this long, the routers have stopped sending
  // packets to this balancer.
  static constexpr base::Duration kQuietTime = std::chrono::milliseconds(600);
  // The part of the grace that is reserved for an orderly exit.
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
