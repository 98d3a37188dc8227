// The identity, traffic endpoint and state of a balancer as its peers know
// them.

#ifndef LIBFLOW_BALANCER_H_
#define LIBFLOW_BALANCER_H_

#include <cstdint>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace flow {

enum class BalancerState : std::uint8_t {
  // Decides about openings and about packets of its flows.
  kServing,
  // About to stop: decides about packets of flows that it knows, gets no
  // opening.
  kLeaving,
  // May be dead: gets no opening and is last in the search order. A wrong
  // suspicion costs relays and no flow.
  kSuspected,
};

struct Balancer {
  base::BalancerId m_id;
  base::Endpoint m_traffic;
  BalancerState m_state = BalancerState::kServing;

  friend bool operator==(const Balancer&, const Balancer&) = default;
};

}  // namespace flow

#endif  // LIBFLOW_BALANCER_H_
