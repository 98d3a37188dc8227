// Estimates the lag of the load reports of a service: the time by which their
// figures are older than the age that is measured for them. Reports do not
// state this lag. For the correct lag, the difference between the requests in a
// report and the flows open at the report's time hardly changes from one report
// to the next. For a wrong lag, every opening and end of a flow in between
// changes the difference. The estimate is the candidate lag with the smallest
// mean square change.

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

  // One value for each of kCandidates, in the same order.
  using PerCandidate = std::array<double, kCandidates.size()>;

  // Queries.
  // Returns the estimated lag; zero before kMinimumReports records.
  base::Duration Estimate() const;

  // Commands.
  // Records, for each candidate lag, the change in the difference between
  // reported requests and open flows since the previous report of the same
  // server.
  void Record(const PerCandidate& changes);

 private:
  static constexpr std::size_t kMinimumReports = 50;
  // Weight of the newest change in the moving mean square.
  static constexpr double kSampleWeight = 0.01;

  PerCandidate m_mean_squares{};
  std::size_t m_report_count = 0;
};

}  // namespace placement

#endif  // LIBPLACEMENT_REPORT_LAG_ESTIMATOR_H_
