// The identifiers shared by every library.

#ifndef LIBBASE_IDS_H_
#define LIBBASE_IDS_H_

#include <cstdint>
#include <string>

#include "LibBase/strong_id.h"

namespace base {

// One run of a balancer process; drawn at random when the process starts, so
// a restarted balancer is another one.
using BalancerId = StrongId<struct BalancerIdTag, std::uint64_t>;

// A data centre's name, as the configuration document spells it.
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;

// A service, identified by the hash of its name (see MakeServiceId).
using ServiceId = StrongId<struct ServiceIdTag, std::uint64_t>;

// One incarnation of a backend server in one service, identified by the hash
// of service name, server name and incarnation (see MakeBackendServerId). The
// same address under another service or incarnation has another id.
using BackendServerId = StrongId<struct BackendServerIdTag, std::uint64_t>;

// A version of the configuration document. The platform's object API assigns
// it; a greater version replaces a lesser one, never the reverse. Zero means
// that no document is known.
using ConfigurationVersion =
    StrongId<struct ConfigurationVersionTag, std::uint64_t>;

}  // namespace base

#endif  // LIBBASE_IDS_H_
