// The results of reads, watches and lists of the platform's API.

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

// The request exceeded the platform's rate limit and had no effect.
struct RateLimited {};

// The platform sent no response, or none that can be used, such as status 503.
// A write with this result had no effect.
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
