// Answers a MembersRequest; the records are the updates of the message.

#ifndef LIBPEER_MEMBERS_REPLY_H_
#define LIBPEER_MEMBERS_REPLY_H_

#include "LibBase/ids.h"

namespace peer {

struct MembersReply {
  // The id to ask for next; the zero id if the page was the last one.
  base::BalancerId m_continue_after;

  friend bool operator==(const MembersReply&, const MembersReply&) = default;
};

}  // namespace peer

#endif  // LIBPEER_MEMBERS_REPLY_H_
