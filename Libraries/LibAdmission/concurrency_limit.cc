#include "LibAdmission/concurrency_limit.h"

#include <algorithm>

namespace admission {

void ConcurrencyLimit::RecordDelay(base::Duration delay,
                                   bool is_limiting,
                                   base::TimePoint now) {
  if (m_interval_start == base::TimePoint::min())
    m_interval_start = now;
  ++m_samples;
  m_long_delays += delay > m_settings.m_target_delay ? 1 : 0;
  m_was_limiting = m_was_limiting || is_limiting;
  if (now - m_interval_start >= m_settings.m_interval)
    EndInterval(now);
}

void ConcurrencyLimit::EndInterval(base::TimePoint now) {
  const bool are_delays_long = 2 * m_long_delays > m_samples;
  if (are_delays_long)
    m_factor *= m_settings.m_decrease;
  else if (m_was_limiting)
    m_factor += m_settings.m_increase;
  m_factor = std::clamp(m_factor, m_settings.m_minimum_factor,
                        m_settings.m_maximum_factor);
  m_interval_start = now;
  m_samples = 0;
  m_long_delays = 0;
  m_was_limiting = false;
}

}  // namespace admission
