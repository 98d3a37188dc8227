// What a peer knows of the store when it asks for the changes since then.

#ifndef LIBCATALOG_KNOWN_VIEW_H_
#define LIBCATALOG_KNOWN_VIEW_H_

#include "LibBase/ids.h"
#include "LibCatalog/revision.h"

namespace catalog {

struct KnownView {
  Revision m_servers;
  base::ConfigurationVersion m_manifest;
  Revision m_evacuations;

  friend bool operator==(const KnownView&, const KnownView&) = default;
};

}  // namespace catalog

#endif  // LIBCATALOG_KNOWN_VIEW_H_
