// A burn report summed over several balancers, with the names of the balancers
// that are missing from the sum.

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
  // Names beyond this number are not stored; expected() still counts those
  // balancers.
  static constexpr std::size_t kMaximumMissingNames = 64;

  // An empty sum.
  CombinedBurnReport() = default;
  // The report of one balancer that has counted events for `counting_time`.
  CombinedBurnReport(BurnReport report, base::Duration counting_time);
  // A sum that another balancer computed.
  CombinedBurnReport(BurnReport report,
                     std::optional<base::Duration> shortest_counting_time,
                     std::size_t expected,
                     std::size_t answered,
                     std::vector<std::string> missing);

  // Queries.
  const BurnReport& report() const { return m_report; }
  // The number of balancers that should be in the sum, and the number that are.
  std::size_t expected() const { return m_expected; }
  std::size_t answered() const { return m_answered; }
  const std::vector<std::string>& missing() const { return m_missing; }
  const std::vector<std::string>& missing_data_centres() const {
    return m_missing_data_centres;
  }
  // How long the most recently started balancer has counted events.
  std::optional<base::Duration> shortest_counting_time() const {
    return m_shortest_counting_time;
  }
  bool IsComplete() const {
    return m_answered == m_expected && m_missing_data_centres.empty();
  }

  // Commands.
  // Adds another sum. Its missing balancers are listed as "DATA_CENTRE/NAME",
  // or under their plain names if `data_centre` is empty.
  void Merge(const CombinedBurnReport& other, const std::string& data_centre);
  // Records a balancer that should be in the sum and is not.
  void AddMissingBalancer(const std::string& balancer);
  // Records a data centre from which no report arrived.
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

// Returns one line: how many balancers are in the sum, which are missing, and
// how long the most recently started balancer has counted events.
std::string RenderCoverage(const CombinedBurnReport& burn);

}  // namespace observability

#endif  // LIBOBSERVABILITY_COMBINED_BURN_REPORT_H_
