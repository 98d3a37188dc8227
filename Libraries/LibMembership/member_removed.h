// Effect: a member is dead, or a later run of its VM replaced it at its
// endpoint.

#ifndef LIBMEMBERSHIP_MEMBER_REMOVED_H_
#define LIBMEMBERSHIP_MEMBER_REMOVED_H_

#include "LibPeer/member_record.h"

namespace membership {

struct MemberRemoved {
  peer::MemberRecord m_record;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_REMOVED_H_
