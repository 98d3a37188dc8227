// Adaptive limit on the requests that a service runs and queues at once. Answer
// delays adapt the limit by additive increase and multiplicative decrease (Chiu
// and Jain, 1989). A delay is long relative to the service's own baseline
// delay, because the first byte of an answer follows a service time that is not
// configured. The limit is a multiple of the service's slots, so that it scales
// as servers are added and removed. Every balancer compares the limit with its
// estimate of the whole service's load; the limit is not divided among the
// balancers.

#ifndef LIBADMISSION_CONCURRENCY_LIMIT_H_
#define LIBADMISSION_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "LibBase/time.h"

namespace admission {

struct ConcurrencySettings {
  // A mean delay above this multiple of the baseline delay lowers the limit.
  double m_long_delay_factor = 2.0;
  // Mean delays up to this never lower the limit.
  base::Duration m_minimum_long_delay = std::chrono::milliseconds(50);
  // The limit as a multiple of the slots: its initial value and its range. At
  // 1, every slot may be busy and no request may queue.
  double m_initial_factor = 1.5;
  double m_minimum_factor = 1.1;
  double m_maximum_factor = 4.0;
  // Added to the factor after an interval without long delays in which the load
  // was near the limit.
  double m_increase = 0.05;
  // Multiplies the factor after an interval with long delays.
  double m_decrease = 0.9;
  // Minimum time between two changes of the limit, so that a change affects the
  // delays before the next change.
  base::Duration m_interval = std::chrono::milliseconds(500);
  // An interval ends only after this many recorded delays.
  int m_minimum_samples = 10;
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencySettings settings)
      : m_settings(settings), m_factor(settings.m_initial_factor) {}

  // Queries.
  // Returns the number of requests that `slots` slots may run and queue.
  double Limit(double slots) const { return slots * m_factor; }
  double Factor() const { return m_factor; }

  // Commands.
  // Applies the settings and clamps the learned factor to the new range.
  void SetSettings(const ConcurrencySettings& settings) {
    m_settings = settings;
    m_factor = std::clamp(m_factor, m_settings.m_minimum_factor,
                          m_settings.m_maximum_factor);
  }
  // Records the delay of one answer. `is_near_limit` is whether the load was
  // near the limit. The limit grows only after an interval in which it was.
  void RecordDelay(base::Duration delay,
                   bool is_near_limit,
                   base::TimePoint now);

 private:
  void EndInterval(base::TimePoint now);

  ConcurrencySettings m_settings;
  double m_factor;
  base::TimePoint m_interval_start = base::TimePoint::min();
  int m_samples = 0;
  double m_delay_sum_seconds = 0.0;
  // Zero before the first interval has ended.
  double m_baseline_delay_seconds = 0.0;
  bool m_was_near_limit = false;
};

}  // namespace admission

#endif  // LIBADMISSION_CONCURRENCY_LIMIT_H_
