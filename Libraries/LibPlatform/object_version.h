// The version that the platform gives each state of an object. It only grows;
// zero stands for an absent object.

#ifndef LIBPLATFORM_OBJECT_VERSION_H_
#define LIBPLATFORM_OBJECT_VERSION_H_

#include <cstdint>

#include "LibBase/strong_id.h"

namespace platform {

using ObjectVersion = base::StrongId<struct ObjectVersionTag, std::uint64_t>;

}  // namespace platform

#endif  // LIBPLATFORM_OBJECT_VERSION_H_
