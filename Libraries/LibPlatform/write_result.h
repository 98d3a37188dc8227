// What a conditional update of the platform's object API gives.

#ifndef LIBPLATFORM_WRITE_RESULT_H_
#define LIBPLATFORM_WRITE_RESULT_H_

#include <cstdint>
#include <variant>

#include "LibPlatform/object_version.h"
#include "LibPlatform/read_result.h"

namespace platform {

struct Written {
  ObjectVersion m_version;
};

// Another version than the expected one is in force; zero if absent.
struct Conflict {
  ObjectVersion m_current;
};

// The platform refuses this request for good, as over its size limit.
struct Rejected {
  std::uint16_t m_http_status = 0;
};

// The answer was lost: the update may have taken effect, or may yet.
struct PossiblyWritten {};

using WriteResult = std::variant<Written,
                                 Conflict,
                                 Rejected,
                                 RateLimited,
                                 Unavailable,
                                 PossiblyWritten>;

}  // namespace platform

#endif  // LIBPLATFORM_WRITE_RESULT_H_
