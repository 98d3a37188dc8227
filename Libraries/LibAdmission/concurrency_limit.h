// A limit on the requests that a service runs and queues at once, adapted to
// the opening delay by additive increase and multiplicative decrease (Chiu and
// Jain, 1989). The limit is a multiple of the service's slots, so that it
// follows servers that come and go, and every balancer compares it with the
// same estimate of the whole service's load; no share is divided among them.

#ifndef LIBADMISSION_CONCURRENCY_LIMIT_H_
#define LIBADMISSION_CONCURRENCY_LIMIT_H_

#include <chrono>

#include "LibBase/time.h"

namespace admission {

struct ConcurrencySettings {
  // Opening delay that is aimed at; a longer one lowers the limit.
  base::Duration m_target_delay = std::chrono::seconds(1);
  // The limit as a multiple of the slots: at the start, and its range. At 1
  // every slot may be busy and nothing may queue.
  double m_initial_factor = 1.5;
  double m_minimum_factor = 1.1;
  double m_maximum_factor = 4.0;
  // Added to the factor after an interval without a long delay.
  double m_increase = 0.05;
  // The factor is multiplied with this after an interval with long delays.
  double m_decrease = 0.9;
  // The limit changes at most once in this time, so that a change shows in the
  // delays before the next.
  base::Duration m_interval = std::chrono::milliseconds(500);
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencySettings settings)
      : m_settings(settings), m_factor(settings.m_initial_factor) {}

  // Queries.
  // Requests that `slots` slots may run and queue.
  double Limit(double slots) const { return slots * m_factor; }
  double Factor() const { return m_factor; }

  // Commands.
  // Takes in the delay of one opening. `is_limiting` tells whether the load was
  // near the limit; a limit that is not reached does not grow.
  void RecordDelay(base::Duration delay, bool is_limiting, base::TimePoint now);

 private:
  void EndInterval(base::TimePoint now);

  ConcurrencySettings m_settings;
  double m_factor;
  base::TimePoint m_interval_start = base::TimePoint::min();
  int m_samples = 0;
  int m_long_delays = 0;
  bool m_was_limiting = false;
};

}  // namespace admission

#endif  // LIBADMISSION_CONCURRENCY_LIMIT_H_
