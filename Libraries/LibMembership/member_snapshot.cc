#include "LibMembership/member_snapshot.h"

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"

namespace membership {

MemberSnapshot::MemberSnapshot(std::vector<SnapshotMember> members)
    : m_members(std::move(members)) {
  std::sort(m_members.begin(), m_members.end());
}

RankedMembers MemberSnapshot::Rank(std::uint64_t flow_hash,
                                   std::size_t count) const {
  using WeightedPosition = std::pair<std::uint64_t, std::size_t>;
  const std::size_t wanted = std::min(count, kMaximumRankedMembers);
  // Holds one more than is kept: each candidate is inserted in order, then the
  // one with the lowest weight is removed.
  boost::container::static_vector<WeightedPosition, kMaximumRankedMembers + 1>
      best;
  for (std::size_t at = 0; at < m_members.size(); ++at) {
    const std::uint64_t weight =
        base::CombineHashes(flow_hash, m_members[at].m_id.value());
    if (best.size() == wanted && (wanted == 0 || weight <= best.back().first))
      continue;
    const auto place =
        std::find_if(best.begin(), best.end(),
                     [&](const auto& other) { return weight > other.first; });
    best.insert(place, WeightedPosition(weight, at));
    if (best.size() > wanted)
      best.pop_back();
  }
  RankedMembers ranked;
  for (const auto& [weight, at] : best)
    ranked.push_back(m_members[at]);
  return ranked;
}

}  // namespace membership
