// Delays the load reports of a backend server by a fixed lag.

#ifndef STANDINS_LOAD_HISTORY_H_
#define STANDINS_LOAD_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "LibBase/time.h"

namespace stand_ins {

struct LoadReport {
  std::uint64_t m_busy = 0;
  std::uint64_t m_slots = 0;
  std::uint64_t m_queued = 0;
  std::uint64_t m_connections = 0;
  std::uint64_t m_limit = 0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

class LoadHistory {
 public:
  explicit LoadHistory(base::Duration lag) : m_lag(lag) {}

  // Queries.
  // The report that was current one lag before `now`; the oldest one if no
  // report is that old, an empty one if there is none.
  LoadReport ReportAt(base::TimePoint now) const;

  // Commands.
  void Add(const LoadReport& report, base::TimePoint now);

 private:
  base::Duration m_lag;
  std::deque<std::pair<base::TimePoint, LoadReport>> m_reports;
};

}  // namespace stand_ins

#endif  // STANDINS_LOAD_HISTORY_H_
