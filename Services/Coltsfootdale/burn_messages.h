// Burn reports as messages between balancers.

#ifndef SERVICES_COLTSFOOTDALE_BURN_MESSAGES_H_
#define SERVICES_COLTSFOOTDALE_BURN_MESSAGES_H_

#include <optional>

#include "LibObservability/combined_burn_report.h"
#include "LibPeer/burn_reply.h"

namespace service {

// Data centres that are missing have no place in the message: only sums over
// one data centre are sent.
peer::BurnReply ToBurnReply(const observability::CombinedBurnReport& burn);

// Nothing if the reply contradicts itself or has other counts than this
// program keeps.
std::optional<observability::CombinedBurnReport> FromBurnReply(
    const peer::BurnReply& reply);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BURN_MESSAGES_H_
