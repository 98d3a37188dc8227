#include "LibAdmission/concurrency_limit.h"

#include <algorithm>
#include <chrono>

namespace admission {

namespace {

// The baseline delay drops to a shorter mean delay at once and approaches a
// longer one by this share of the difference, so that a service that has become
// permanently slower is not throttled forever.
constexpr double kBaselineDelayGain = 0.01;

}  // namespace

void ConcurrencyLimit::RecordDelay(base::Duration delay,
                                   bool is_near_limit,
                                   base::TimePoint now) {
  if (m_interval_start == base::TimePoint::min())
    m_interval_start = now;
  ++m_samples;
  m_delay_sum_seconds += std::chrono::duration<double>(delay).count();
  m_was_near_limit = m_was_near_limit || is_near_limit;
  if (m_samples >= m_settings.m_minimum_samples &&
      now - m_interval_start >= m_settings.m_interval)
    EndInterval(now);
}

void ConcurrencyLimit::EndInterval(base::TimePoint now) {
  const double mean = m_delay_sum_seconds / m_samples;
  if (m_baseline_delay_seconds == 0.0 || mean < m_baseline_delay_seconds)
    m_baseline_delay_seconds = mean;
  else
    m_baseline_delay_seconds +=
        kBaselineDelayGain * (mean - m_baseline_delay_seconds);
  const double minimum =
      std::chrono::duration<double>(m_settings.m_minimum_long_delay).count();
  const bool are_delays_long =
      mean > std::max(minimum, m_settings.m_long_delay_factor *
                                   m_baseline_delay_seconds);
  if (are_delays_long)
    m_factor *= m_settings.m_decrease;
  else if (m_was_near_limit)
    m_factor += m_settings.m_increase;
  m_factor = std::clamp(m_factor, m_settings.m_minimum_factor,
                        m_settings.m_maximum_factor);
  m_interval_start = now;
  m_samples = 0;
  m_delay_sum_seconds = 0.0;
  m_was_near_limit = false;
}

}  // namespace admission
