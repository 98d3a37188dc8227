// Counts, on one balancer, the events that the service-level objectives of each
// service are measured by.

#ifndef LIBOBSERVABILITY_BURN_RECORDER_H_
#define LIBOBSERVABILITY_BURN_RECORDER_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "LibBase/time.h"
#include "LibObservability/burn_report.h"
#include "LibObservability/burn_window.h"
#include "LibObservability/sliding_window_counter.h"

namespace observability {

class BurnRecorder {
 public:
  // Queries.
  // Returns the counts of this balancer as of `now`.
  BurnReport Report(base::TimePoint now) const;

  // Commands.
  // Adds `counts` at time `now`. Ignores events of new services once
  // BurnReport::kMaximumServices services are recorded.
  void Record(std::string_view service,
              Objective objective,
              const EventCounts& counts,
              base::TimePoint now);
  // Removes the counts of a service that is no longer configured.
  void Remove(std::string_view service);

 private:
  // The counters of one objective. Each is named after the longest window that
  // it covers. Longer windows are counted in wider buckets: buckets of 15 s for
  // the windows of 5 min and 1 h, of 5 min for 30 min and 6 h, and of 1 h for
  // 3 d.
  struct ObjectiveCounters {
    SlidingWindowCounter m_up_to_one_hour{std::chrono::seconds(15), 240};
    SlidingWindowCounter m_up_to_six_hours{std::chrono::minutes(5), 72};
    SlidingWindowCounter m_up_to_three_days{std::chrono::hours(1), 72};
  };
  using ServiceCounters = std::array<ObjectiveCounters, kObjectiveCount>;

  static WindowCounts CountsOf(const ObjectiveCounters& counters,
                               base::TimePoint now);

  std::map<std::string, ServiceCounters, std::less<>> m_services;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_RECORDER_H_
