// One request to a peer by TCP, and its reply.

#ifndef SERVICES_COLTSFOOTDALE_PEER_REQUEST_H_
#define SERVICES_COLTSFOOTDALE_PEER_REQUEST_H_

#include <asio/io_context.hpp>

#include <functional>
#include <optional>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibPeer/message.h"

namespace service {

// Called once, with nothing if no valid reply arrived before the timeout.
using PeerReplyCallback = std::function<void(std::optional<peer::Message>)>;

// Connects to `peer`, sends `request` and waits for one message. `timeout`
// covers all three steps. Calls `callback` from `context`.
void SendPeerRequest(asio::io_context& context,
                     base::Endpoint peer,
                     const peer::Message& request,
                     base::Duration timeout,
                     PeerReplyCallback callback);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_PEER_REQUEST_H_
