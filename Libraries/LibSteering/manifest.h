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

// What an operator configured for the servers of a service.
struct ServiceOptions {
  std::string m_service;
  // The path at which the servers answer health checks.
  std::string m_health_path;
  // How long a server is cold after its start. Zero: no warm-up configured.
  base::Duration m_warm_up{};
  // The requests per second that a cold server bears, from all balancers
  // together. Zero: no limit configured.
  double m_warm_up_requests_per_second = 0;

  friend bool operator==(const ServiceOptions&,
                         const ServiceOptions&) = default;
};

struct Manifest {
  // Each manifest has a greater version than the one before; versions may be
  // skipped. Zero means that there is no manifest.
  base::ConfigurationVersion m_version;
  std::vector<Route> m_routes;
  std::vector<ServiceOptions> m_services;
  // The balancer may delete its record of a flow that had no packet for this
  // long.
  base::Duration m_idle_timeout = std::chrono::seconds(15);
};

}  // namespace steering

#endif  // LIBSTEERING_MANIFEST_H_
