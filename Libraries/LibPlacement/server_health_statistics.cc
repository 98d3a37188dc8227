#include "LibPlacement/server_health_statistics.h"

#include <algorithm>
#include <chrono>

namespace placement {

namespace {

double InSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServerHealthStatistics::RecordDelay(base::Duration delay) {
  const double seconds = InSeconds(delay);
  if (++m_delay_samples == 1)
    m_mean_delay = seconds;
  else
    m_mean_delay += kDelayWeight * (seconds - m_mean_delay);
}

void ServerHealthStatistics::RecordOpeningRefused() {
  RecordSample(1.0);
  m_contradicts_idle = true;
}

void ServerHealthStatistics::RecordSample(double refused) {
  ++m_samples;
  m_refused_share += kRefusedWeight * (refused - m_refused_share);
}

void ServerHealthStatistics::RecordReport(bool says_idle) {
  if (says_idle && m_contradicts_idle)
    m_credit = std::max(kMinimumCredibility, m_credit * kCreditLossFactor);
  else
    m_credit = std::min(1.0, m_credit + kCreditGain);
  m_contradicts_idle = false;
}

void ServerHealthStatistics::Eject(const OutlierSettings& settings,
                                   base::TimePoint now,
                                   base::Random& random) {
  const bool was_good_for_long =
      m_ejections > 0 && now - m_ejected_until > settings.m_maximum_ejection;
  m_ejections = was_good_for_long ? 1 : m_ejections + 1;
  base::Duration time = settings.m_base_ejection;
  for (std::uint32_t doubling = 1; doubling < m_ejections; ++doubling) {
    if (time >= settings.m_maximum_ejection)
      break;
    time *= 2;
  }
  time = std::min(time, settings.m_maximum_ejection);
  const double jitter = 1.0 + settings.m_jitter_share * random.Unit();
  m_ejected_until =
      now + std::chrono::duration_cast<base::Duration>(time * jitter);
  m_samples = 0;
  m_refused_share = 0.0;
  m_delay_samples = 0;
  m_mean_delay = 0.0;
}

}  // namespace placement
