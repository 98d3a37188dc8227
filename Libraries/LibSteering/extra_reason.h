// Why a balancer sends an opening that the callers' openings alone do not ask
// for.

#ifndef LIBSTEERING_EXTRA_REASON_H_
#define LIBSTEERING_EXTRA_REASON_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace steering {

enum class ExtraReason : std::uint8_t {
  // A copy goes to a second server earlier than without a budget.
  kEarlyCopy,
  // An opening goes to a slow server to learn whether it is still slow.
  kTrial,
};

inline constexpr base::EnumTable<ExtraReason, 2> kExtraReasonNames{{
    {ExtraReason::kEarlyCopy, "early_copy"},
    {ExtraReason::kTrial, "trial"},
}};

}  // namespace steering

#endif  // LIBSTEERING_EXTRA_REASON_H_
