// A rule that binds an address of callers' flows to a service.

#ifndef LIBSTEERING_ROUTE_H_
#define LIBSTEERING_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibSteering/request_kind.h"

namespace steering {

// A service that gets a share of a route's new flows.
struct WeightedService {
  std::string m_name;
  // Relative to the other services of the route.
  std::uint32_t m_weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

struct Route {
  std::string m_name;
  // Where callers send the packets of their flows.
  base::Endpoint m_address;
  // Not empty, and the sum of the weights is not zero.
  std::vector<WeightedService> m_services;
  RequestKind m_kind = RequestKind::kIdempotent;
  // How long a caller waits for one answer.
  base::Duration m_timeout = std::chrono::seconds(2);

  // The service for a new flow with `hash`; the same on every balancer, and for
  // each copy of an opening.
  const std::string& ServiceFor(std::uint64_t hash) const;

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace steering

#endif  // LIBSTEERING_ROUTE_H_
