// A revision of the store as a whole; it grows with each change.

#ifndef LIBCATALOG_REVISION_H_
#define LIBCATALOG_REVISION_H_

#include <cstdint>

#include "LibBase/strong_id.h"

namespace catalog {

// Zero means that nothing was read yet.
using Revision = base::StrongId<struct RevisionTag, std::uint64_t>;

}  // namespace catalog

#endif  // LIBCATALOG_REVISION_H_
