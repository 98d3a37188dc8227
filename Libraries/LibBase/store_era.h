// Counts how often the platform's store came back from a copy of its past.

#ifndef LIBBASE_STORE_ERA_H_
#define LIBBASE_STORE_ERA_H_

#include <cstdint>

#include "LibBase/strong_id.h"

namespace base {

// Zero: the store has not named its era.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

}  // namespace base

#endif  // LIBBASE_STORE_ERA_H_
