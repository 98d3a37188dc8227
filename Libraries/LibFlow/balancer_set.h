// The balancers of one data centre as one of them knows them, and the order in
// which they are responsible for a flow. The order is the rendezvous hashing
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM ToN 1998) of the flow's bucket.

#ifndef LIBFLOW_BALANCER_SET_H_
#define LIBFLOW_BALANCER_SET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "LibBase/ids.h"
#include "LibFlow/balancer.h"
#include "LibFlow/balancer_ranks.h"

namespace flow {

class BalancerSet {
 public:
  // `balancers` must contain `self`.
  BalancerSet(base::BalancerId self, std::vector<Balancer> balancers);
  // Builds the same set from the ranks of `previous`, which is faster if few
  // balancers changed.
  BalancerSet(base::BalancerId self,
              std::vector<Balancer> balancers,
              const BalancerSet& previous);

  base::BalancerId self() const { return m_self; }
  std::span<const Balancer> balancers() const { return m_balancers; }
  std::size_t allocated_bytes() const;

  // The balancer that decides about the flow: the first serving one in order,
  // or the first of all if none serves.
  const Balancer& HomeOf(std::uint64_t flow_hash) const;

  bool IsHome(std::uint64_t flow_hash) const {
    return HomeOf(flow_hash).m_id == m_self;
  }

  // The balancer that a search reaches after `hops` others, not counting the
  // home; nothing at the end of the order. A balancer that joins or leaves
  // moves a flow's home by one rank, so the former home is searched first.
  // Suspected balancers are searched last.
  std::optional<Balancer> SearchTarget(std::uint64_t flow_hash,
                                       std::size_t hops) const;

 private:
  // Scan all balancers if the stored ranks of the bucket do not suffice.
  const Balancer& ScanForHome(std::uint64_t flow_hash) const;
  std::optional<Balancer> ScanForTarget(std::uint64_t flow_hash,
                                        std::size_t hops,
                                        base::BalancerId home) const;

  base::BalancerId m_self;
  std::vector<Balancer> m_balancers;
  BalancerRanks m_ranks;
};

}  // namespace flow

#endif  // LIBFLOW_BALANCER_SET_H_
