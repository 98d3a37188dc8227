#include "LibPlacement/server_health_statistics.h"

#include <algorithm>
#include <chrono>

namespace placement {

namespace {

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServerHealthStatistics::RecordDelay(base::Duration delay) {
  const double seconds = ToSeconds(delay);
  if (++m_delay_samples == 1)
    m_mean_delay = seconds;
  else
    m_mean_delay += kDelayWeight * (seconds - m_mean_delay);
}

void ServerHealthStatistics::RecordOpeningRefused() {
  RecordOpeningResult(1.0);
  m_has_evidence_of_load = true;
}

void ServerHealthStatistics::RecordOpeningResult(double refused) {
  ++m_opening_samples;
  m_refused_share += kRefusedWeight * (refused - m_refused_share);
}

void ServerHealthStatistics::RecordReport(bool is_idle) {
  if (is_idle && m_has_evidence_of_load)
    m_report_credibility = std::max(
        kMinimumCredibility, m_report_credibility * kCredibilityLossFactor);
  else
    m_report_credibility =
        std::min(1.0, m_report_credibility + kCredibilityGain);
  m_has_evidence_of_load = false;
}

void ServerHealthStatistics::Eject(const OutlierSettings& settings,
                                   base::TimePoint now,
                                   base::Random& random) {
  const bool has_backoff_expired =
      m_consecutive_ejections > 0 &&
      now - m_ejected_until > settings.m_maximum_ejection;
  m_consecutive_ejections =
      has_backoff_expired ? 1 : m_consecutive_ejections + 1;
  base::Duration ejection = settings.m_base_ejection;
  for (std::uint32_t doubling = 1; doubling < m_consecutive_ejections;
       ++doubling) {
    if (ejection >= settings.m_maximum_ejection)
      break;
    ejection *= 2;
  }
  ejection = std::min(ejection, settings.m_maximum_ejection);
  const double jitter = 1.0 + settings.m_jitter_share * random.Unit();
  m_ejected_until =
      now + std::chrono::duration_cast<base::Duration>(ejection * jitter);
  m_opening_samples = 0;
  m_refused_share = 0.0;
  m_delay_samples = 0;
  m_mean_delay = 0.0;
}

}  // namespace placement
