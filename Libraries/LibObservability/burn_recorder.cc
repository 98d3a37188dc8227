#include "LibObservability/burn_recorder.h"

namespace observability {

BurnReport BurnRecorder::Report(base::TimePoint now) const {
  BurnReport report;
  for (const auto& [service, rings] : m_services) {
    ServiceCounts counts;
    for (std::size_t objective = 0; objective < kObjectiveCount; ++objective)
      counts[objective] = CountsOf(rings[objective], now);
    report.Add(service, counts);
  }
  return report;
}

void BurnRecorder::Record(std::string_view service,
                          Objective objective,
                          const EventCounts& counts,
                          base::TimePoint now) {
  auto found = m_services.find(service);
  if (found == m_services.end()) {
    if (m_services.size() >= BurnReport::kMaximumServices)
      return;
    found = m_services.emplace(service, ServiceRings()).first;
  }
  Rings& rings = found->second[static_cast<std::size_t>(objective)];
  rings.m_seconds.Add(counts, now);
  rings.m_minutes.Add(counts, now);
  rings.m_hours.Add(counts, now);
}

void BurnRecorder::Remove(std::string_view service) {
  const auto found = m_services.find(service);
  if (found != m_services.end())
    m_services.erase(found);
}

WindowCounts BurnRecorder::CountsOf(const Rings& rings, base::TimePoint now) {
  const auto sum = [now](const SlidingWindowCounter& ring, BurnWindow window) {
    return ring.Sum(kBurnWindowLengths[static_cast<std::size_t>(window)], now);
  };
  return {sum(rings.m_seconds, BurnWindow::kFiveMinutes),
          sum(rings.m_minutes, BurnWindow::kThirtyMinutes),
          sum(rings.m_seconds, BurnWindow::kOneHour),
          sum(rings.m_minutes, BurnWindow::kSixHours),
          sum(rings.m_hours, BurnWindow::kThreeDays)};
}

}  // namespace observability
