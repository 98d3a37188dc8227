// The identifiers of token steering.

#ifndef LIBSTEERING_IDS_H_
#define LIBSTEERING_IDS_H_

#include <cstdint>
#include <string>

#include "LibBase/strong_id.h"

namespace steering {

// The name under which a backend server registers; a new one at nearly every
// start of the server.
using ServerName = base::StrongId<struct ServerNameTag, std::string>;

// The number by which a backend server knows that a datagram is meant for it.
using WireIdentity = base::StrongId<struct WireIdentityTag, std::uint64_t>;

// The value that a flow carries in each of its packets and that names the
// flow's backend server. Zero means that none was written yet.
using FlowToken = base::StrongId<struct FlowTokenTag, std::uint32_t>;

// The place of a backend server in a ServerDirectory; not used again while the
// directory lives.
using ServerHandle = base::StrongId<struct ServerHandleTag, std::uint32_t>;

}  // namespace steering

#endif  // LIBSTEERING_IDS_H_
