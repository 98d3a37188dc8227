// Converts LibFlow's watch requests and replies, with which balancers detect
// silent flows together, to messages of LibPeer and back.

#ifndef SERVICES_COLTSFOOTDALE_FLOW_WATCH_MAPPING_H_
#define SERVICES_COLTSFOOTDALE_FLOW_WATCH_MAPPING_H_

#include "LibFlow/watch_message.h"
#include "LibPeer/flow_watch_reply.h"
#include "LibPeer/flow_watch_request.h"

namespace service {

peer::FlowWatchRequest ToPeerWatchRequest(const flow::WatchRequest& request);
peer::FlowWatchReply ToPeerWatchReply(const flow::WatchReply& reply);
// Maps a sender value that is neither end of a flow to the server.
flow::WatchRequest FromPeerWatchRequest(const peer::FlowWatchRequest& watch);
flow::WatchReply FromPeerWatchReply(const peer::FlowWatchReply& reply);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_FLOW_WATCH_MAPPING_H_
