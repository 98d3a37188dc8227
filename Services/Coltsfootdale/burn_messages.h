// Converts burn reports to messages between balancers and back.

#ifndef SERVICES_COLTSFOOTDALE_BURN_MESSAGES_H_
#define SERVICES_COLTSFOOTDALE_BURN_MESSAGES_H_

#include <optional>

#include "LibObservability/combined_burn_report.h"
#include "LibPeer/burn_reply.h"

namespace service {

// The message has no field for missing data centres, because balancers send
// only sums over one data centre.
peer::BurnReply ToBurnReply(const observability::CombinedBurnReport& burn);

// Returns nothing if the numbers of balancers in the reply contradict each
// other or if a service has another number of counts than this program's
// reports.
std::optional<observability::CombinedBurnReport> FromBurnReply(
    const peer::BurnReply& reply);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_MESSAGES_H_
