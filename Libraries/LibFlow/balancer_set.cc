#include "LibFlow/balancer_set.h"

#include <algorithm>

#include "LibBase/hash.h"
#include "LibBase/verify.h"

namespace flow {

namespace {

std::uint64_t WeightOf(std::uint64_t flow_hash, const Balancer& balancer) {
  return base::CombineHashes(flow_hash, balancer.m_id.value());
}

}  // namespace

BalancerSet::BalancerSet(base::BalancerId self, std::vector<Balancer> balancers)
    : m_self(self), m_balancers(std::move(balancers)) {
  VERIFY(!m_balancers.empty());
}

const Balancer& BalancerSet::HomeOf(std::uint64_t flow_hash) const {
  const Balancer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Balancer& balancer : m_balancers) {
    const std::uint64_t weight = WeightOf(flow_hash, balancer);
    const bool is_better =
        best == nullptr ||
        (balancer.m_state == best->m_state ? weight > best_weight
                                           : balancer.m_state < best->m_state);
    if (is_better) {
      best = &balancer;
      best_weight = weight;
    }
  }
  return *best;
}

std::optional<Balancer> BalancerSet::SearchTarget(std::uint64_t flow_hash,
                                                  std::size_t hops) const {
  const base::BalancerId home = HomeOf(flow_hash).m_id;
  std::vector<const Balancer*> others;
  others.reserve(m_balancers.size());
  for (const Balancer& balancer : m_balancers) {
    if (balancer.m_id != home)
      others.push_back(&balancer);
  }
  if (hops >= others.size())
    return std::nullopt;
  const auto target = others.begin() + static_cast<std::ptrdiff_t>(hops);
  std::nth_element(
      others.begin(), target, others.end(),
      [flow_hash](const Balancer* left, const Balancer* right) {
        const bool is_left_last = left->m_state == BalancerState::kSuspected;
        const bool is_right_last = right->m_state == BalancerState::kSuspected;
        if (is_left_last != is_right_last)
          return is_right_last;
        return WeightOf(flow_hash, *left) > WeightOf(flow_hash, *right);
      });
  return **target;
}

}  // namespace flow
