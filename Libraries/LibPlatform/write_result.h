// The result of a conditional update of the platform's object API.

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

// The object does not have the expected version. m_current is zero if the
// object is absent.
struct Conflict {
  ObjectVersion m_current;
};

// The platform refuses the request permanently, for example because the body is
// over the size limit.
struct Rejected {
  std::uint16_t m_http_status = 0;
};

// The response was lost. The update may have taken effect, or may still take
// effect.
struct PossiblyWritten {};

using WriteResult = std::variant<Written,
                                 Conflict,
                                 Rejected,
                                 RateLimited,
                                 Unavailable,
                                 PossiblyWritten>;

}  // namespace platform

#endif  // LIBPLATFORM_WRITE_RESULT_H_
