// The events and actions that Membership returns to its owner.

#ifndef LIBMEMBERSHIP_EFFECT_H_
#define LIBMEMBERSHIP_EFFECT_H_

#include <variant>
#include <vector>

#include "LibMembership/live_members_changed.h"
#include "LibMembership/member_added.h"
#include "LibMembership/member_changed.h"
#include "LibMembership/member_removed.h"
#include "LibMembership/pause_detected.h"
#include "LibMembership/send_message.h"

namespace membership {

using Effect = std::variant<SendMessage,
                            MemberAdded,
                            MemberChanged,
                            MemberRemoved,
                            LiveMembersChanged,
                            PauseDetected>;
using Effects = std::vector<Effect>;

}  // namespace membership

#endif  // LIBMEMBERSHIP_EFFECT_H_
