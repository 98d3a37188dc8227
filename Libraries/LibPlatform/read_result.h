// What a read, a watch or a list of the platform's object API gives.

#ifndef LIBPLATFORM_READ_RESULT_H_
#define LIBPLATFORM_READ_RESULT_H_

#include <string>
#include <variant>
#include <vector>

#include "LibPlatform/object_version.h"
#include "LibPlatform/vm_record.h"

namespace platform {

struct Found {
  ObjectVersion m_version;
  std::string m_body;
};

struct Absent {};

// A watch ended without a newer version.
struct Unchanged {};

// The call was over the platform's rate and had no effect.
struct RateLimited {};

// The platform did not answer, or answered that it is down. A write with this
// result had no effect.
struct Unavailable {};

using ReadResult =
    std::variant<Found, Absent, Unchanged, RateLimited, Unavailable>;

struct ListedObject {
  std::string m_key;
  ObjectVersion m_version;
};

using ListResult =
    std::variant<std::vector<ListedObject>, RateLimited, Unavailable>;

using VmsResult = std::variant<std::vector<VmRecord>, RateLimited, Unavailable>;

}  // namespace platform

#endif  // LIBPLATFORM_READ_RESULT_H_
