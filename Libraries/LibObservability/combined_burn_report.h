// The burn report summed over several balancers, and which of them it lacks.

#ifndef LIBOBSERVABILITY_COMBINED_BURN_REPORT_H_
#define LIBOBSERVABILITY_COMBINED_BURN_REPORT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/time.h"
#include "LibObservability/burn_report.h"

namespace observability {

class CombinedBurnReport {
 public:
  // More names are not kept; the number of balancers stays right.
  static constexpr std::size_t kMaximumMissingNames = 64;

  // Nothing is in the sum.
  CombinedBurnReport() = default;
  // The report of one balancer that has counted for `counting_time`.
  CombinedBurnReport(BurnReport report, base::Duration counting_time);
  // A sum that was made elsewhere.
  CombinedBurnReport(BurnReport report,
                     std::optional<base::Duration> shortest_counting_time,
                     std::size_t expected,
                     std::size_t answered,
                     std::vector<std::string> missing);

  // Queries.
  const BurnReport& report() const { return m_report; }
  // How many balancers should be in the sum, and how many are.
  std::size_t expected() const { return m_expected; }
  std::size_t answered() const { return m_answered; }
  const std::vector<std::string>& missing() const { return m_missing; }
  const std::vector<std::string>& missing_data_centres() const {
    return m_missing_data_centres;
  }
  // For how long the balancer that was started last has counted.
  std::optional<base::Duration> shortest_counting_time() const {
    return m_shortest_counting_time;
  }
  bool IsComplete() const {
    return m_answered == m_expected && m_missing_data_centres.empty();
  }

  // Commands.
  // Adds what another sum counts; its missing balancers are named
  // "`data_centre`/name", or as they are if `data_centre` is empty.
  void Merge(const CombinedBurnReport& other, const std::string& data_centre);
  // Tells that a balancer should be in the sum and is not.
  void AddMissingBalancer(const std::string& balancer);
  // The same of a data centre of which nothing is known.
  void AddMissingDataCentre(const std::string& data_centre);

 private:
  void AddMissingName(const std::string& name);

  BurnReport m_report;
  std::optional<base::Duration> m_shortest_counting_time;
  std::size_t m_expected = 0;
  std::size_t m_answered = 0;
  std::vector<std::string> m_missing;
  std::vector<std::string> m_missing_data_centres;
};

// One line: how many balancers are in the sum, which are not, and for how long
// the one that was started last has counted.
std::string RenderCoverage(const CombinedBurnReport& burn);

}  // namespace observability

#endif  // LIBOBSERVABILITY_COMBINED_BURN_REPORT_H_
