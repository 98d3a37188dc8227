// The routes that an operator configured, with one version for all of them.

#ifndef LIBSTEERING_MANIFEST_H_
#define LIBSTEERING_MANIFEST_H_

#include <chrono>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibSteering/route.h"

namespace steering {

// The path at which the servers of a service answer health checks.
struct ServiceHealth {
  std::string m_service;
  std::string m_path;

  friend bool operator==(const ServiceHealth&, const ServiceHealth&) = default;
};

struct Manifest {
  // Each manifest has a greater version than the one before; versions may be
  // skipped. Zero means that there is no manifest.
  base::ConfigurationVersion m_version;
  std::vector<Route> m_routes;
  std::vector<ServiceHealth> m_health;
  // The balancer may delete its record of a flow that had no packet for this
  // long.
  base::Duration m_idle_timeout = std::chrono::seconds(15);
};

}  // namespace steering

#endif  // LIBSTEERING_MANIFEST_H_
