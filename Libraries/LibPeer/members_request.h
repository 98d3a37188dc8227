// Requests the page of the receiver's members that follows an id.

#ifndef LIBPEER_MEMBERS_REQUEST_H_
#define LIBPEER_MEMBERS_REQUEST_H_

#include "LibBase/ids.h"

namespace peer {

struct MembersRequest {
  // The page contains members with greater ids, in order of id.
  base::BalancerId m_after;

  friend bool operator==(const MembersRequest&,
                         const MembersRequest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_MEMBERS_REQUEST_H_
