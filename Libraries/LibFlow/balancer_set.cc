#include "LibFlow/balancer_set.h"

#include <limits>
#include <utility>

#include "LibBase/verify.h"

namespace flow {

BalancerSet::BalancerSet(base::BalancerId self, std::vector<Balancer> balancers)
    : m_self(self), m_balancers(std::move(balancers)), m_ranks(m_balancers) {
  VERIFY(!m_balancers.empty());
}

BalancerSet::BalancerSet(base::BalancerId self,
                         std::vector<Balancer> balancers,
                         const BalancerSet& previous)
    : m_self(self),
      m_balancers(std::move(balancers)),
      m_ranks(m_balancers, previous.m_balancers, previous.m_ranks) {
  VERIFY(!m_balancers.empty());
}

std::size_t BalancerSet::allocated_bytes() const {
  return m_balancers.capacity() * sizeof(Balancer) + m_ranks.allocated_bytes();
}

const Balancer& BalancerSet::HomeOf(std::uint64_t flow_hash) const {
  for (const BalancerRanks::Index index : m_ranks.RowOf(flow_hash)) {
    if (index == BalancerRanks::kNone)
      break;
    if (m_balancers[index].m_state == BalancerState::kServing)
      return m_balancers[index];
  }
  return ScanForHome(flow_hash);
}

const Balancer& BalancerSet::ScanForHome(std::uint64_t flow_hash) const {
  const Balancer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (std::size_t index = 0; index < m_balancers.size(); ++index) {
    const Balancer& balancer = m_balancers[index];
    const std::uint64_t weight = m_ranks.WeightOf(flow_hash, index);
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
  std::size_t passed = 0;
  for (const BalancerRanks::Index index : m_ranks.RowOf(flow_hash)) {
    if (index == BalancerRanks::kNone)
      return std::nullopt;
    const Balancer& balancer = m_balancers[index];
    if (balancer.m_id == home)
      continue;
    if (passed == hops)
      return balancer;
    ++passed;
  }
  return ScanForTarget(flow_hash, hops, home);
}

std::optional<Balancer> BalancerSet::ScanForTarget(
    std::uint64_t flow_hash,
    std::size_t hops,
    base::BalancerId home) const {
  const Balancer* target = nullptr;
  std::uint64_t limit = std::numeric_limits<std::uint64_t>::max();
  for (std::size_t passed = 0; passed <= hops; ++passed) {
    target = nullptr;
    std::uint64_t best_weight = 0;
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
      const std::uint64_t weight = m_ranks.WeightOf(flow_hash, index);
      const bool is_later = weight < limit && m_balancers[index].m_id != home;
      if (is_later && (target == nullptr || weight > best_weight)) {
        target = &m_balancers[index];
        best_weight = weight;
      }
    }
    if (target == nullptr)
      return std::nullopt;
    limit = best_weight;
  }
  return *target;
}

}  // namespace flow
