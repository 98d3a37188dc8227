// Counts events so that older events weigh less.

#ifndef LIBADMISSION_DECAYED_COUNT_H_
#define LIBADMISSION_DECAYED_COUNT_H_

#include <chrono>
#include <cmath>

#include "LibBase/time.h"

namespace admission {

class DecayedCount {
 public:
  // The weight of an event halves after `half_life`.
  explicit DecayedCount(base::Duration half_life) : m_half_life(half_life) {}

  // Queries.
  double ValueAt(base::TimePoint now) const {
    const std::chrono::duration<double> age = now - m_counted_at;
    return m_value == 0 ? 0 : m_value * std::exp2(-age / m_half_life);
  }

  // Commands.
  void Add(double amount, base::TimePoint now) {
    m_value = ValueAt(now) + amount;
    m_counted_at = now;
  }

 private:
  base::Duration m_half_life;
  base::TimePoint m_counted_at;
  double m_value = 0;
};

}  // namespace admission

#endif  // LIBADMISSION_DECAYED_COUNT_H_
