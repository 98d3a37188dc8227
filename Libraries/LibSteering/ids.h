// The identifiers of servers and flows.

#ifndef LIBSTEERING_IDS_H_
#define LIBSTEERING_IDS_H_

#include <cstdint>
#include <string>

#include "LibBase/strong_id.h"

namespace steering {

// The name under which a backend server registers. A server has a new name
// after nearly every start.
using ServerName = base::StrongId<struct ServerNameTag, std::string>;

// The number that precedes each forwarded datagram. A backend server accepts
// only datagrams with its own number.
using WireIdentity = base::StrongId<struct WireIdentityTag, std::uint64_t>;

// The value in each packet of a flow that identifies the flow's backend server.
// Zero means that no balancer has written a token yet.
using FlowToken = base::StrongId<struct FlowTokenTag, std::uint32_t>;

// Identifies an entry of a ServerDirectory. A directory never reuses a handle.
using ServerHandle = base::StrongId<struct ServerHandleTag, std::uint32_t>;

}  // namespace steering

#endif  // LIBSTEERING_IDS_H_
