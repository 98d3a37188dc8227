// Maps LibFlow's watches to the messages of LibPeer and back.

#ifndef SERVICES_COLTSFOOTDALE_FLOW_WATCH_MAPPING_H_
#define SERVICES_COLTSFOOTDALE_FLOW_WATCH_MAPPING_H_

#include "LibFlow/watch_message.h"
#include "LibPeer/flow_watch_reply.h"
#include "LibPeer/flow_watch_request.h"

namespace service {

peer::FlowWatchRequest MakeFlowWatch(const flow::WatchRequest& request);
peer::FlowWatchReply MakeFlowWatchReply(const flow::WatchReply& reply);
// A sender that is neither end of a flow is taken for the server.
flow::WatchRequest MakeWatchRequest(const peer::FlowWatchRequest& watch);
flow::WatchReply MakeWatchReply(const peer::FlowWatchReply& reply);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_FLOW_WATCH_MAPPING_H_
