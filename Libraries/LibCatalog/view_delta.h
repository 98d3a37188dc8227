// The difference between two states of a balancer's view of the store.

#ifndef LIBCATALOG_VIEW_DELTA_H_
#define LIBCATALOG_VIEW_DELTA_H_

#include <optional>
#include <vector>

#include "LibCatalog/evacuations.h"
#include "LibCatalog/revision.h"
#include "LibSteering/manifest.h"
#include "LibSteering/server_record.h"

namespace catalog {

struct ViewDelta {
  // The delta completes every view that contains the servers up to this
  // revision. Zero: m_servers contains all servers.
  Revision m_since;
  // The revision of the servers after the delta is applied.
  Revision m_servers_revision;
  std::vector<steering::ServerRecord> m_servers;
  std::vector<steering::ServerName> m_removed_servers;
  Revision m_manifest_revision;
  // Set if the manifest is newer than the peer's.
  std::optional<steering::Manifest> m_manifest;
  // All evacuations. Set if the peer's revision of them is older.
  std::optional<Evacuations> m_evacuations;
};

}  // namespace catalog

#endif  // LIBCATALOG_VIEW_DELTA_H_
