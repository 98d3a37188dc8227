// Estimates by how much the load reports of a service's servers lag behind what
// they say, which no report tells. If the lag is right, the difference between
// a report and the flows known to be open at its time hardly changes from one
// report to the next; if it is wrong, every opening and end in between shows as
// a change. Of several possible lags the one with the smallest changes is
// taken.

#ifndef LIBPLACEMENT_REPORT_LAG_ESTIMATOR_H_
#define LIBPLACEMENT_REPORT_LAG_ESTIMATOR_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "LibBase/time.h"

namespace placement {

class ReportLagEstimator {
 public:
  static constexpr std::array kCandidates{
      std::chrono::milliseconds(0),    std::chrono::milliseconds(25),
      std::chrono::milliseconds(50),   std::chrono::milliseconds(75),
      std::chrono::milliseconds(100),  std::chrono::milliseconds(150),
      std::chrono::milliseconds(200),  std::chrono::milliseconds(300),
      std::chrono::milliseconds(400),  std::chrono::milliseconds(600),
      std::chrono::milliseconds(800),  std::chrono::milliseconds(1000),
      std::chrono::milliseconds(1500), std::chrono::milliseconds(2000)};

  // One number for each candidate, in their order.
  using PerCandidate = std::array<double, kCandidates.size()>;

  // Queries.
  // Zero until enough reports have been compared.
  base::Duration Estimate() const;

  // Commands.
  // Takes in by how much the difference between report and open flows has
  // changed since the same server's last report, for each candidate.
  void Record(const PerCandidate& changes);

 private:
  static constexpr std::size_t kMinimumReports = 50;
  static constexpr double kSampleWeight = 0.01;

  PerCandidate m_mean_squares{};
  std::size_t m_report_count = 0;
};

}  // namespace placement

#endif  // LIBPLACEMENT_REPORT_LAG_ESTIMATOR_H_
