// A balancer's whole view of the store: servers, routes, evacuations and
// their revisions. A balancer that cannot read the store requests a snapshot
// from a peer.

#ifndef LIBCATALOG_SNAPSHOT_H_
#define LIBCATALOG_SNAPSHOT_H_

#include <vector>

#include "LibCatalog/evacuations.h"
#include "LibCatalog/revision.h"
#include "LibSteering/manifest.h"
#include "LibSteering/server_record.h"

namespace catalog {

struct Snapshot {
  Revision m_servers_revision;
  std::vector<steering::ServerRecord> m_servers;
  Revision m_manifest_revision;
  steering::Manifest m_manifest;
  Evacuations m_evacuations;
};

}  // namespace catalog

#endif  // LIBCATALOG_SNAPSHOT_H_
