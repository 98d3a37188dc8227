#include "LibPlacement/report_lag_estimator.h"

#include <algorithm>

namespace placement {

base::Duration ReportLagEstimator::Estimate() const {
  if (m_report_count < kMinimumReports)
    return base::Duration::zero();
  const auto least = std::ranges::min_element(m_mean_squares);
  return kCandidates[static_cast<std::size_t>(least - m_mean_squares.begin())];
}

void ReportLagEstimator::Record(const PerCandidate& changes) {
  ++m_report_count;
  for (std::size_t candidate = 0; candidate < changes.size(); ++candidate) {
    const double square = changes[candidate] * changes[candidate];
    m_mean_squares[candidate] +=
        kSampleWeight * (square - m_mean_squares[candidate]);
  }
}

}  // namespace placement
