// A service and its rules as the configuration document describes them.

#ifndef LIBCONFIGURATION_SERVICE_H_
#define LIBCONFIGURATION_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibConfiguration/backend_server.h"

namespace configuration {

// Where openings may go, under the key "placement".
struct PlacementRule {
  // How many backend servers of the flow's rendezvous order are considered.
  std::uint64_t m_candidates = 3;
  // From 0, only keep flows whole, to 1, only spread the work evenly.
  double m_imbalance_weight = 0.5;

  friend bool operator==(const PlacementRule&, const PlacementRule&) = default;
};

// The service-level objective, under the key "objective".
struct ServiceObjective {
  // The share of established flows that may break.
  double m_broken_flows = 0.0001;
  // The share of openings that may be refused.
  double m_refused_openings = 0.01;
  // How long an opening may wait for its answer.
  std::chrono::milliseconds m_wait{1000};

  friend bool operator==(const ServiceObjective&,
                         const ServiceObjective&) = default;
};

// Bounds on retries, under the key "limits".
struct ServiceLimits {
  // Openings tried again, in percent of all openings.
  std::uint64_t m_retry_budget_percent = 9;
  // An opening is not tried again after this time.
  std::chrono::milliseconds m_opening_deadline{3000};

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

struct Service {
  std::string m_name;
  // What callers connect to.
  base::Endpoint m_address;
  PlacementRule m_placement;
  ServiceObjective m_objective;
  ServiceLimits m_limits;
  std::vector<BackendServer> m_backend_servers;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_SERVICE_H_
