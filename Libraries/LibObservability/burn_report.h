// The counts of each service's objectives over the burn windows. The reports of
// several balancers merge by addition, so one balancer can sum the reports that
// its peers send. The counts of a balancer are lost when it stops.

#ifndef LIBOBSERVABILITY_BURN_REPORT_H_
#define LIBOBSERVABILITY_BURN_REPORT_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "LibObservability/burn_window.h"

namespace observability {

// One entry for each Objective.
using ServiceCounts = std::array<WindowCounts, kObjectiveCount>;

class BurnReport {
 public:
  using Services = std::map<std::string, ServiceCounts>;

  // Queries.
  const Services& services() const { return m_services; }

  // Commands.
  // Adds `counts` to the counts of `service`. Ignores a new service once
  // kMaximumServices services are in the report.
  void Add(const std::string& service, const ServiceCounts& counts);
  void Merge(const BurnReport& other);

  static constexpr std::size_t kMaximumServices = 256;

 private:
  Services m_services;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_REPORT_H_
