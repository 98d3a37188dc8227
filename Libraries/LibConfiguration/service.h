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
  // The maximum number of candidates: the backend servers that are considered,
  // from the start of the flow's rendezvous order.
  std::uint64_t m_candidates = 3;
  // The importance of an even load, from 0 to 1. At 0, the rule only avoids
  // broken flows and chooses the first candidate that is not full. At 1, the
  // rule only balances the load and chooses the least loaded candidate.
  double m_imbalance_weight = 0.5;

  friend bool operator==(const PlacementRule&, const PlacementRule&) = default;
};

// The service-level objective, under the key "objective".
struct ServiceObjective {
  // The fraction of established flows that may break.
  double m_broken_flows = 0.0001;
  // The fraction of openings that may be refused.
  double m_refused_openings = 0.01;
  // The maximum time from an opening to its first answer. A flow with a later
  // answer counts as slow.
  std::chrono::milliseconds m_wait{1000};

  friend bool operator==(const ServiceObjective&,
                         const ServiceObjective&) = default;
};

// Bounds on retries of openings, under the key "limits".
struct ServiceLimits {
  // The maximum number of retries, in percent of all openings received.
  std::uint64_t m_retry_budget_percent = 9;
  // An opening is not sent to another backend server later than this time after
  // it was first sent to a backend server.
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
