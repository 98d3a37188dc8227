// A message between balancers: the status of its sender, a body, and
// piggybacked updates about members.

#ifndef LIBPEER_MESSAGE_H_
#define LIBPEER_MESSAGE_H_

#include <variant>
#include <vector>

#include "LibPeer/ack.h"
#include "LibPeer/burn_reply.h"
#include "LibPeer/burn_request.h"
#include "LibPeer/document_reply.h"
#include "LibPeer/document_request.h"
#include "LibPeer/flow_watch_reply.h"
#include "LibPeer/flow_watch_request.h"
#include "LibPeer/heartbeat.h"
#include "LibPeer/leave.h"
#include "LibPeer/load_digest.h"
#include "LibPeer/member_record.h"
#include "LibPeer/members_reply.h"
#include "LibPeer/members_request.h"
#include "LibPeer/ping.h"
#include "LibPeer/ping_request.h"
#include "LibPeer/sender_status.h"

namespace peer {

// The position of an alternative is its tag on the wire. New alternatives are
// appended.
using MessageBody = std::variant<Heartbeat,
                                 Ping,
                                 Ack,
                                 PingRequest,
                                 Leave,
                                 MembersRequest,
                                 MembersReply,
                                 LoadDigest,
                                 DocumentRequest,
                                 DocumentReply,
                                 BurnRequest,
                                 BurnReply,
                                 FlowWatchRequest,
                                 FlowWatchReply>;

struct Message {
  SenderStatus m_sender;
  MessageBody m_body;
  // At most kMaximumUpdates.
  std::vector<MemberRecord> m_updates;

  friend bool operator==(const Message&, const Message&) = default;
};

}  // namespace peer

#endif  // LIBPEER_MESSAGE_H_
