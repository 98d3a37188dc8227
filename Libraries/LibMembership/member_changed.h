// Effect: a known member has a new state, incarnation or endpoint.

#ifndef LIBMEMBERSHIP_MEMBER_CHANGED_H_
#define LIBMEMBERSHIP_MEMBER_CHANGED_H_

#include "LibPeer/member_record.h"

namespace membership {

struct MemberChanged {
  peer::MemberRecord m_record;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_CHANGED_H_
