// Decides whether a process that starts tries again to bind its sockets. A
// process that shuts down holds its ports until the end of its grace, and an
// address may be configured after the process has started.

#ifndef LIBEDGE_BIND_RETRY_H_
#define LIBEDGE_BIND_RETRY_H_

#include <chrono>
#include <system_error>

#include "LibBase/time.h"

namespace edge {

class BindRetry {
 public:
  static constexpr base::Duration kInterval = std::chrono::milliseconds(50);
  // The time by which the former process may end after its grace.
  static constexpr base::Duration kReserve = std::chrono::milliseconds(2000);

  // `grace` is the time from SIGTERM to SIGKILL.
  BindRetry(base::TimePoint started_at, base::Duration grace)
      : m_give_up_at(started_at + grace + kReserve) {}

  // Queries.
  // `error` is the result of an attempt at `now`.
  bool MayRetry(const std::error_code& error, base::TimePoint now) const {
    return IsTemporary(error) && now < m_give_up_at;
  }

 private:
  static bool IsTemporary(const std::error_code& error) {
    return error == std::errc::address_in_use ||
           error == std::errc::address_not_available;
  }

  base::TimePoint m_give_up_at;
};

}  // namespace edge

#endif  // LIBEDGE_BIND_RETRY_H_
