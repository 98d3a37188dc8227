// The counts of each service's objectives over the burn windows. Reports of
// several balancers merge by addition, so that one balancer can report for all
// from what its peers send. What a balancer counted goes with it when it stops.

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
  // Adds counts of one service; services beyond kMaximumServices are dropped.
  void Add(const std::string& service, const ServiceCounts& counts);
  void Merge(const BurnReport& other);

  static constexpr std::size_t kMaximumServices = 256;

 private:
  Services m_services;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_REPORT_H_
