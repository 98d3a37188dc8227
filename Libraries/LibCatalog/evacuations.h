// The data centres that are evacuated: nothing new is sent to their servers.

#ifndef LIBCATALOG_EVACUATIONS_H_
#define LIBCATALOG_EVACUATIONS_H_

#include <map>

#include "LibBase/ids.h"
#include "LibCatalog/revision.h"

namespace catalog {

struct Evacuations {
  // All changes of the collection are known up to this revision; zero if the
  // collection has not been read.
  Revision m_revision;
  // The revision of each data centre's object in the store.
  std::map<base::DataCentreId, Revision> m_objects;

  friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

}  // namespace catalog

#endif  // LIBCATALOG_EVACUATIONS_H_
