// Maps the address that callers send to onto services.

#ifndef LIBSTEERING_ROUTE_H_
#define LIBSTEERING_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibSteering/request_kind.h"

namespace steering {

// A service and its share of a route's new flows.
struct WeightedService {
  std::string m_name;
  // Relative to the other services of the route.
  std::uint32_t m_weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

// The urgency of a route that has none configured.
inline constexpr std::uint32_t kLeastUrgentPriority =
    std::numeric_limits<std::uint32_t>::max();

struct Route {
  std::string m_name;
  // The destination address of callers' packets.
  base::Endpoint m_address;
  // Empty if the manifest names no usable service for the address; openings are
  // then left unanswered. Otherwise the sum of the weights is not zero.
  std::vector<WeightedService> m_services;
  RequestKind m_kind = RequestKind::kIdempotent;
  // How long a caller waits for an answer.
  base::Duration m_timeout = std::chrono::seconds(2);
  // The time within which the operator wants a request to be answered.
  std::optional<base::Duration> m_target_latency;
  // The urgency of the route's requests; 0 is the most urgent.
  std::uint32_t m_priority = kLeastUrgentPriority;

  // The service for a new flow whose key has `hash`. All balancers choose the
  // same service, for an opening and for its retransmissions. m_services must
  // not be empty.
  const std::string& ServiceFor(std::uint64_t hash) const;

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace steering

#endif  // LIBSTEERING_ROUTE_H_
