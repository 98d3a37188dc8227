// Exponential back-off with jitter (Brooker, "Exponential Backoff And Jitter",
// AWS Architecture Blog, 2015).

#ifndef LIBPLATFORM_BACK_OFF_H_
#define LIBPLATFORM_BACK_OFF_H_

#include <algorithm>

#include "LibBase/random.h"
#include "LibBase/time.h"

namespace platform {

class BackOff {
 public:
  BackOff(base::Duration initial, base::Duration maximum)
      : m_initial(initial), m_maximum(maximum), m_current(initial) {}

  // Returns a random delay, uniform in the upper half of the current step, and
  // doubles the step up to the maximum.
  base::Duration Next(base::Random& random) {
    const base::Duration step = m_current;
    m_current = std::min(m_current * 2, m_maximum);
    const base::Duration half = step / 2;
    const auto spread = static_cast<std::uint64_t>(half.count()) + 1;
    return half + base::Duration(random.Below(spread));
  }

  void Reset() { m_current = m_initial; }

 private:
  base::Duration m_initial;
  base::Duration m_maximum;
  base::Duration m_current;
};

}  // namespace platform

#endif  // LIBPLATFORM_BACK_OFF_H_
