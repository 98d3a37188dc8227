// The state of a balancer as its peers see it.

#ifndef LIBPEER_MEMBER_STATE_H_
#define LIBPEER_MEMBER_STATE_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace peer {

// The first three are declared by the member itself, the last two by peers
// that cannot reach it.
enum class MemberState : std::uint8_t {
  kJoining,
  kServing,
  kLeaving,
  kSuspected,
  kDead,
};

inline constexpr base::EnumTable<MemberState, 5> kMemberStateNames{{
    {MemberState::kJoining, "joining"},
    {MemberState::kServing, "serving"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kSuspected, "suspected"},
    {MemberState::kDead, "dead"},
}};

}  // namespace peer

#endif  // LIBPEER_MEMBER_STATE_H_
