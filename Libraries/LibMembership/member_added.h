// Effect: a balancer of this data centre was added to the member table.

#ifndef LIBMEMBERSHIP_MEMBER_ADDED_H_
#define LIBMEMBERSHIP_MEMBER_ADDED_H_

#include "LibPeer/member_record.h"

namespace membership {

struct MemberAdded {
  peer::MemberRecord m_record;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_ADDED_H_
