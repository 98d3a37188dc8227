// The live members of a data centre at one moment. The snapshot is immutable,
// so threads may share it.

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

  // Sorted by id.
  const std::vector<SnapshotMember>& Members() const { return m_members; }

  // Returns the first `count` members, at most kMaximumRankedMembers, in
  // rendezvous order for the flow. The order is by descending weight, which is
  // a hash of flow and member (Thaler and Ravishankar, IEEE/ACM Transactions on
  // Networking, 1998). Takes time linear in the number of members and does not
  // allocate.
  RankedMembers Rank(std::uint64_t flow_hash, std::size_t count) const;

  friend bool operator==(const MemberSnapshot&,
                         const MemberSnapshot&) = default;

 private:
  std::vector<SnapshotMember> m_members;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_SNAPSHOT_H_
