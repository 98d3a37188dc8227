// A service and its placement rule, objective and limits as the configuration
// document describes them.

#ifndef LIBCONFIGURATION_SERVICE_H_
#define LIBCONFIGURATION_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibConfiguration/backend_server.h"

namespace configuration {

// The rule that chooses a backend server for an opening, under the key
// "placement".
struct PlacementRule {
  // The number of backend servers that are considered, from the start of the
  // flow's rendezvous order.
  std::uint64_t m_candidates = 3;
  // 0 only avoids broken flows; 1 only balances the load.
  double m_imbalance_weight = 0.5;

  friend bool operator==(const PlacementRule&, const PlacementRule&) = default;
};

// The service-level objective, under the key "objective".
struct ServiceObjective {
  // The fraction of established flows that may break.
  double m_broken_flows = 0.0001;
  // The fraction of openings that may be refused.
  double m_refused_openings = 0.01;
  // The maximum time from an opening to its answer.
  std::chrono::milliseconds m_wait{1000};

  friend bool operator==(const ServiceObjective&,
                         const ServiceObjective&) = default;
};

// Bounds on retries, under the key "limits".
struct ServiceLimits {
  // The maximum number of retried openings, in percent of all openings.
  std::uint64_t m_retry_budget_percent = 9;
  // An opening is not retried after this time.
  std::chrono::milliseconds m_opening_deadline{3000};

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

struct Service {
  std::string m_name;
  // The endpoint that callers connect to.
  base::Endpoint m_address;
  PlacementRule m_placement;
  ServiceObjective m_objective;
  ServiceLimits m_limits;
  std::vector<BackendServer> m_backend_servers;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_SERVICE_H_
