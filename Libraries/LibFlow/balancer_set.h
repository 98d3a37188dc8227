// The balancers of one data centre as one of them sees them, and the order in
// which they answer for a flow: rendezvous hashing (Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", IEEE/ACM ToN 1998).

#ifndef LIBFLOW_BALANCER_SET_H_
#define LIBFLOW_BALANCER_SET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

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

class BalancerSet {
 public:
  // `balancers` holds `self` too.
  BalancerSet(base::BalancerId self, std::vector<Balancer> balancers);

  base::BalancerId self() const { return m_self; }
  std::span<const Balancer> balancers() const { return m_balancers; }

  // The balancer that decides about the flow: the first serving one in order,
  // or the first of all if none serves.
  const Balancer& HomeOf(std::uint64_t flow_hash) const;

  bool IsHome(std::uint64_t flow_hash) const {
    return HomeOf(flow_hash).m_id == m_self;
  }

  // The balancer to ask after `hops` others, the home not counted; nothing
  // when the order ends. A balancer that joins or leaves moves a home by one
  // place, so the former home comes first. Suspected ones come last.
  std::optional<Balancer> SearchTarget(std::uint64_t flow_hash,
                                       std::size_t hops) const;

 private:
  base::BalancerId m_self;
  std::vector<Balancer> m_balancers;
};

}  // namespace flow

#endif  // LIBFLOW_BALANCER_SET_H_
