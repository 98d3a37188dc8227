#include "LibObservability/burn_recorder.h"

namespace observability {

BurnReport BurnRecorder::Report(base::TimePoint now) const {
  BurnReport report;
  for (const auto& [service, counters] : m_services) {
    ServiceCounts counts;
    for (std::size_t objective = 0; objective < kObjectiveCount; ++objective)
      counts[objective] = CountsOf(counters[objective], now);
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
    found = m_services.emplace(service, ServiceCounters()).first;
  }
  ObjectiveCounters& counters =
      found->second[static_cast<std::size_t>(objective)];
  counters.m_up_to_one_hour.Add(counts, now);
  counters.m_up_to_six_hours.Add(counts, now);
  counters.m_up_to_three_days.Add(counts, now);
}

void BurnRecorder::Remove(std::string_view service) {
  const auto found = m_services.find(service);
  if (found != m_services.end())
    m_services.erase(found);
}

WindowCounts BurnRecorder::CountsOf(const ObjectiveCounters& counters,
                                    base::TimePoint now) {
  const auto sum = [now](const SlidingWindowCounter& counter,
                         BurnWindow window) {
    return counter.Sum(kBurnWindowLengths[static_cast<std::size_t>(window)],
                       now);
  };
  return {sum(counters.m_up_to_one_hour, BurnWindow::kFiveMinutes),
          sum(counters.m_up_to_six_hours, BurnWindow::kThirtyMinutes),
          sum(counters.m_up_to_one_hour, BurnWindow::kOneHour),
          sum(counters.m_up_to_six_hours, BurnWindow::kSixHours),
          sum(counters.m_up_to_three_days, BurnWindow::kThreeDays)};
}

}  // namespace observability
