// Reply to a MembersRequest. The records of the page are the updates of the
// message.

#ifndef LIBPEER_MEMBERS_REPLY_H_
#define LIBPEER_MEMBERS_REPLY_H_

#include "LibBase/ids.h"

namespace peer {

struct MembersReply {
  // The value of m_after for the next request; the zero id after the last page.
  base::BalancerId m_continue_after;

  friend bool operator==(const MembersReply&, const MembersReply&) = default;
};

}  // namespace peer

#endif  // LIBPEER_MEMBERS_REPLY_H_
