// The routes that an operator put in force, as one versioned whole.

#ifndef LIBSTEERING_MANIFEST_H_
#define LIBSTEERING_MANIFEST_H_

#include <chrono>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibSteering/route.h"

namespace steering {

// Where the servers of a service answer health checks.
struct ServiceHealth {
  std::string m_service;
  std::string m_path;

  friend bool operator==(const ServiceHealth&, const ServiceHealth&) = default;
};

struct Manifest {
  // Grows with each manifest, in steps of any size. Zero means none.
  base::ConfigurationVersion m_version;
  std::vector<Route> m_routes;
  std::vector<ServiceHealth> m_health;
  // A flow without a packet for this long may be forgotten.
  base::Duration m_idle_timeout = std::chrono::seconds(15);
};

}  // namespace steering

#endif  // LIBSTEERING_MANIFEST_H_
