// The identifiers that all libraries share.

#ifndef LIBBASE_IDS_H_
#define LIBBASE_IDS_H_

#include <cstdint>
#include <string>

#include "LibBase/strong_id.h"

namespace base {

// Identifies one run of a balancer process. The process draws it at random when
// it starts, so a restarted balancer has another id.
using BalancerId = StrongId<struct BalancerIdTag, std::uint64_t>;

// The name of a data centre, as written in the configuration document.
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;

// Identifies a service by the hash of its name (see MakeServiceId).
using ServiceId = StrongId<struct ServiceIdTag, std::uint64_t>;

// Identifies one incarnation of a backend server in one service by the hash of
// service name, server name and incarnation (see MakeBackendServerId). A server
// address has a different id under each service and incarnation.
using BackendServerId = StrongId<struct BackendServerIdTag, std::uint64_t>;

// A version of the configuration document, assigned by the platform's object
// API. A greater version replaces a lesser one, never the reverse. Zero means
// that no document is known.
using ConfigurationVersion =
    StrongId<struct ConfigurationVersionTag, std::uint64_t>;

}  // namespace base

#endif  // LIBBASE_IDS_H_
