// Counts calls over a sliding second against a limit.

#ifndef STANDINS_RATE_WINDOW_H_
#define STANDINS_RATE_WINDOW_H_

#include <cstddef>
#include <deque>

#include "LibBase/time.h"

namespace stand_ins {

class RateWindow {
 public:
  explicit RateWindow(std::size_t calls_per_second)
      : m_calls_per_second(calls_per_second) {}

  // Takes one call and returns true if fewer than the limit were taken in the
  // last second. `occupied` calls a second are in use by others.
  bool Take(base::TimePoint now, std::size_t occupied) {
    while (!m_calls.empty() && m_calls.front() <= now - std::chrono::seconds(1))
      m_calls.pop_front();
    if (m_calls.size() + occupied >= m_calls_per_second)
      return false;
    m_calls.push_back(now);
    return true;
  }

 private:
  std::size_t m_calls_per_second;
  std::deque<base::TimePoint> m_calls;
};

}  // namespace stand_ins

#endif  // STANDINS_RATE_WINDOW_H_
