// Maps LibFlow's watches to the messages of LibPeer and back.

#ifndef SERVICES_COLTSFOOTDALE_SILENCE_MAPPING_H_
#define SERVICES_COLTSFOOTDALE_SILENCE_MAPPING_H_

#include "LibFlow/watch_message.h"
#include "LibPeer/flow_watch.h"
#include "LibPeer/flow_watch_reply.h"

namespace service {

peer::FlowWatch MakeFlowWatch(const flow::WatchRequest& request);
peer::FlowWatchReply MakeFlowWatchReply(const flow::WatchReply& reply);
// A sender that is neither end of a flow is taken for the server.
flow::WatchRequest MakeWatchRequest(const peer::FlowWatch& watch);
flow::WatchReply MakeWatchReply(const peer::FlowWatchReply& reply);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_SILENCE_MAPPING_H_
