// The state of a balancer as known to its peers.

#ifndef LIBPEER_MEMBER_STATE_H_
#define LIBPEER_MEMBER_STATE_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace peer {

// The member itself declares the first three states; peers that cannot reach
// the member declare the last two.
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
