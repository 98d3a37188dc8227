#include "LibFlow/balancer_ranks.h"

#include <algorithm>
#include <unordered_map>

#include "LibBase/hash.h"
#include "LibBase/verify.h"

namespace flow {

namespace {

constexpr std::uint64_t kTrustBit = std::uint64_t{1} << 63;

bool IsSuspected(const Balancer& balancer) {
  return balancer.m_state == BalancerState::kSuspected;
}

// The differences between a list of balancers and an earlier list.
struct BalancerChanges {
  // The new position for each earlier position; kNone if the balancer left or
  // its rank changed.
  std::vector<BalancerRanks::Index> m_positions;
  // New positions of balancers that joined or whose rank changed.
  std::vector<BalancerRanks::Index> m_added;
};

BalancerChanges CompareBalancers(std::span<const Balancer> before,
                                 std::span<const Balancer> balancers) {
  std::unordered_map<std::uint64_t, std::size_t> earlier;
  for (std::size_t position = 0; position < before.size(); ++position)
    earlier.emplace(before[position].m_id.value(), position);

  BalancerChanges changes;
  changes.m_positions.assign(before.size(), BalancerRanks::kNone);
  for (std::size_t position = 0; position < balancers.size(); ++position) {
    const auto index = static_cast<BalancerRanks::Index>(position);
    const auto found = earlier.find(balancers[position].m_id.value());
    const bool has_same_rank =
        found != earlier.end() &&
        IsSuspected(before[found->second]) == IsSuspected(balancers[position]);
    if (has_same_rank)
      changes.m_positions[found->second] = index;
    else
      changes.m_added.push_back(index);
  }
  return changes;
}

}  // namespace

BalancerRanks::BalancerRanks(std::span<const Balancer> balancers) {
  VERIFY(balancers.size() < kNone);
  m_balancers.reserve(balancers.size());
  for (const Balancer& balancer : balancers)
    m_balancers.push_back({base::MixBits(balancer.m_id.value()),
                           IsSuspected(balancer) ? 0 : kTrustBit});
  m_rows.resize(kBuckets);
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket)
    RankBucket(bucket);
}

BalancerRanks::BalancerRanks(std::span<const Balancer> balancers,
                             std::span<const Balancer> before,
                             const BalancerRanks& ranks_before)
    : m_rows(ranks_before.m_rows) {
  VERIFY(balancers.size() < kNone);
  m_balancers.reserve(balancers.size());
  for (const Balancer& balancer : balancers)
    m_balancers.push_back({base::MixBits(balancer.m_id.value()),
                           IsSuspected(balancer) ? 0 : kTrustBit});
  const BalancerChanges changes = CompareBalancers(before, balancers);
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    Row& row = m_rows[bucket];
    bool has_removed = false;
    for (Index& index : row) {
      if (index == kNone)
        break;
      index = changes.m_positions[index];
      has_removed = has_removed || index == kNone;
    }
    if (has_removed) {
      RankBucket(bucket);
      continue;
    }
    for (const Index added : changes.m_added)
      InsertInto(row, bucket, added);
  }
}

std::size_t BalancerRanks::allocated_bytes() const {
  return m_rows.capacity() * sizeof(Row) +
         m_balancers.capacity() * sizeof(RankedBalancer);
}

// MixBits is one to one, so within a bucket two balancers with the same trust
// bit can have the same weight only if their mixed values differ in just the
// lowest bit, which the shift drops.
std::uint64_t BalancerRanks::WeightIn(std::size_t bucket,
                                      std::size_t balancer) const {
  const RankedBalancer& ranked = m_balancers[balancer];
  const std::uint64_t weight =
      base::MixBits(base::MixBits(bucket + 1) + ranked.m_hash);
  return (weight >> 1) | ranked.m_trust_bit;
}

void BalancerRanks::RankBucket(std::size_t bucket) {
  std::array<std::uint64_t, kRanks> weights{};
  Row row;
  row.fill(kNone);
  for (std::size_t balancer = 0; balancer < m_balancers.size(); ++balancer) {
    std::uint64_t weight = WeightIn(bucket, balancer);
    if (weight <= weights.back() && row.back() != kNone)
      continue;
    auto index = static_cast<Index>(balancer);
    // Selects without branches, which the processor cannot predict here.
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      const std::uint64_t ranked_weight = weights[rank];
      const Index ranked_index = row[rank];
      const bool is_before = weight > ranked_weight || ranked_index == kNone;
      weights[rank] = is_before ? weight : ranked_weight;
      row[rank] = is_before ? index : ranked_index;
      weight = is_before ? ranked_weight : weight;
      index = is_before ? ranked_index : index;
    }
  }
  m_rows[bucket] = row;
}

void BalancerRanks::InsertInto(Row& row,
                               std::size_t bucket,
                               Index balancer) const {
  const std::uint64_t weight = WeightIn(bucket, balancer);
  Index displaced = balancer;
  for (Index& index : row) {
    if (displaced != balancer || index == kNone ||
        WeightIn(bucket, index) < weight)
      std::swap(index, displaced);
    if (displaced == kNone)
      return;
  }
}

}  // namespace flow
