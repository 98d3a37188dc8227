// The live members of a data centre at one moment, immutable, so that threads
// may share it.

#ifndef LIBMEMBERSHIP_MEMBER_SNAPSHOT_H_
#define LIBMEMBERSHIP_MEMBER_SNAPSHOT_H_

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibMembership/snapshot_member.h"

namespace membership {

inline constexpr std::size_t kMaximumRankedMembers = 8;
using RankedMembers =
    boost::container::static_vector<SnapshotMember, kMaximumRankedMembers>;

class MemberSnapshot {
 public:
  MemberSnapshot() = default;
  explicit MemberSnapshot(std::vector<SnapshotMember> members);

  // In order of id.
  const std::vector<SnapshotMember>& Members() const { return m_members; }

  // The first `count` members, at most kMaximumRankedMembers, in rendezvous
  // order for the flow: by falling weight, the weight being a hash of flow and
  // member (Thaler and Ravishankar, IEEE/ACM Transactions on Networking, 1998).
  // The time grows linearly with the number of members. Allocates nothing.
  RankedMembers Rank(std::uint64_t flow_hash, std::size_t count) const;

  friend bool operator==(const MemberSnapshot&,
                         const MemberSnapshot&) = default;

 private:
  std::vector<SnapshotMember> m_members;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_SNAPSHOT_H_
