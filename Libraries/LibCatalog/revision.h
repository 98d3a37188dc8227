// A revision of the whole store, which grows with each change of any object.

#ifndef LIBCATALOG_REVISION_H_
#define LIBCATALOG_REVISION_H_

#include <cstdint>

#include "LibBase/strong_id.h"

namespace catalog {

// Zero: nothing has been read yet.
using Revision = base::StrongId<struct RevisionTag, std::uint64_t>;

}  // namespace catalog

#endif  // LIBCATALOG_REVISION_H_
