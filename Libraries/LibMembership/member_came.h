// Effect: a balancer of the own data centre has become known.

#ifndef LIBMEMBERSHIP_MEMBER_CAME_H_
#define LIBMEMBERSHIP_MEMBER_CAME_H_

#include "LibPeer/member_record.h"

namespace membership {

struct MemberCame {
  peer::MemberRecord m_record;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBER_CAME_H_
