// Effect: the set of live members changed. The snapshot is immutable, so other
// threads may read it.

#ifndef LIBMEMBERSHIP_LIVE_MEMBERS_CHANGED_H_
#define LIBMEMBERSHIP_LIVE_MEMBERS_CHANGED_H_

#include <memory>

namespace membership {

class MemberSnapshot;

struct LiveMembersChanged {
  std::shared_ptr<const MemberSnapshot> m_snapshot;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_LIVE_MEMBERS_CHANGED_H_
