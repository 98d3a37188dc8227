// Identifies a flow by the endpoints of its caller and its service.

#ifndef LIBFLOW_FLOW_KEY_H_
#define LIBFLOW_FLOW_KEY_H_

#include <compare>
#include <cstdint>

#include "LibBase/hash.h"
#include "LibBase/ipv4.h"

namespace flow {

struct FlowKey {
  base::Endpoint m_caller;
  base::Endpoint m_service;

  friend constexpr auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

constexpr std::uint64_t HashEndpoint(base::Endpoint endpoint) {
  return (std::uint64_t{endpoint.m_address.value()} << 16) | endpoint.m_port;
}

// Every balancer computes the same hash: a flow's home and its server order
// derive from it.
constexpr std::uint64_t HashFlow(const FlowKey& key) {
  return base::CombineHashes(HashEndpoint(key.m_caller),
                             HashEndpoint(key.m_service));
}

}  // namespace flow

#endif  // LIBFLOW_FLOW_KEY_H_
