// The state of a VM in the platform's list.

#ifndef LIBMEMBERSHIP_VM_STATE_H_
#define LIBMEMBERSHIP_VM_STATE_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace membership {

enum class VmState : std::uint8_t { kLive, kLeaving };

inline constexpr base::EnumTable<VmState, 2> kVmStateNames{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}};

}  // namespace membership

#endif  // LIBMEMBERSHIP_VM_STATE_H_
