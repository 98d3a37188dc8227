// A limit on the requests that a service runs and queues at once, adapted to
// the delay of answers by additive increase and multiplicative decrease (Chiu
// and Jain, 1989). A delay is long by comparison with the service's own usual
// delay, because an answer's first byte comes after a service time that nobody
// has configured. The limit is a multiple of the service's slots, so that it
// follows servers that come and go, and every balancer compares it with the
// same estimate of the whole service's load; no share is divided among them.

#ifndef LIBADMISSION_CONCURRENCY_LIMIT_H_
#define LIBADMISSION_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "LibBase/time.h"

namespace admission {

struct ConcurrencySettings {
  // A mean delay of more than this multiple of the usual one lowers the limit.
  double m_long_delay_factor = 2.0;
  // Mean delays under this never lower it.
  base::Duration m_minimum_long_delay = std::chrono::milliseconds(50);
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
  // Fewer delays than this in an interval prolong it.
  int m_minimum_samples = 10;
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
  // Keeps the learned factor as far as the new range holds it.
  void SetSettings(const ConcurrencySettings& settings) {
    m_settings = settings;
    m_factor = std::clamp(m_factor, m_settings.m_minimum_factor,
                          m_settings.m_maximum_factor);
  }
  // Takes in the delay of one answer. `is_near_limit` tells whether the load
  // was near the limit; a limit that is not reached does not grow.
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
  // The usual delay; zero before the first interval has ended.
  double m_baseline_delay_seconds = 0.0;
  bool m_was_near_limit = false;
};

}  // namespace admission

#endif  // LIBADMISSION_CONCURRENCY_LIMIT_H_
