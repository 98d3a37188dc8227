// A revision of the whole store, as a collection is read at.

#ifndef LIBCATALOG_REVISION_H_
#define LIBCATALOG_REVISION_H_

#include "LibBase/store_revision.h"

namespace catalog {

using Revision = base::StoreRevision;

}  // namespace catalog

#endif  // LIBCATALOG_REVISION_H_
