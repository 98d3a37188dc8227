// One balancer as its peers see it.

#ifndef LIBFLOW_BALANCER_H_
#define LIBFLOW_BALANCER_H_

#include <cstdint>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace flow {

enum class BalancerState : std::uint8_t {
  // Takes openings and answers for its flows.
  kServing,
  // About to stop: answers for the flows it knows, takes no opening.
  kLeaving,
  // May be dead: takes no opening and is asked last. If the suspicion is wrong,
  // that costs relays and no flow.
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
