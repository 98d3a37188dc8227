#include "LibObservability/burn_report.h"

namespace observability {

void BurnReport::Add(const std::string& service, const ServiceCounts& counts) {
  if (!m_services.contains(service) && m_services.size() >= kMaximumServices)
    return;
  ServiceCounts& sums = m_services[service];
  for (std::size_t objective = 0; objective < kObjectiveCount; ++objective) {
    for (std::size_t window = 0; window < kBurnWindowCount; ++window)
      sums[objective][window] += counts[objective][window];
  }
}

void BurnReport::Merge(const BurnReport& other) {
  for (const auto& [service, counts] : other.m_services)
    Add(service, counts);
}

}  // namespace observability
