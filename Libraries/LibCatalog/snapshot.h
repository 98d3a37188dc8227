// All that a balancer believes of servers and routes, with revisions. A
// balancer that can't read the store takes it from another one.

#ifndef LIBCATALOG_SNAPSHOT_H_
#define LIBCATALOG_SNAPSHOT_H_

#include <vector>

#include "LibCatalog/revision.h"
#include "LibSteering/manifest.h"
#include "LibSteering/server_record.h"

namespace catalog {

struct Snapshot {
  Revision m_servers_revision;
  std::vector<steering::ServerRecord> m_servers;
  Revision m_manifest_revision;
  steering::Manifest m_manifest;
};

}  // namespace catalog

#endif  // LIBCATALOG_SNAPSHOT_H_
