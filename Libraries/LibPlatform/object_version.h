// The version that the platform assigns to each state of an object. The version
// of an object only increases; zero denotes an absent object.

#ifndef LIBPLATFORM_OBJECT_VERSION_H_
#define LIBPLATFORM_OBJECT_VERSION_H_

#include <cstdint>

#include "LibBase/strong_id.h"

namespace platform {

using ObjectVersion = base::StrongId<struct ObjectVersionTag, std::uint64_t>;

}  // namespace platform

#endif  // LIBPLATFORM_OBJECT_VERSION_H_
