// Turns what the store, or another balancer, says into the steering's belief.
// Free of I/O; every change of belief is returned for the log.

#ifndef LIBEDGE_STORE_VIEW_H_
#define LIBEDGE_STORE_VIEW_H_

#include <optional>
#include <string>
#include <vector>

#include "LibBase/time.h"
#include "LibCatalog/delayed_removals.h"
#include "LibCatalog/revision.h"
#include "LibCatalog/snapshot.h"
#include "LibSteering/manifest.h"
#include "LibSteering/server_directory.h"
#include "LibSteering/steering.h"

namespace edge {

struct ServerChange {
  steering::ServerRecord m_record;
  steering::DirectoryChange m_change = steering::DirectoryChange::kNone;
};
using ServerChanges = std::vector<ServerChange>;

// A server record as it is, or the name of one that was removed.
struct ServerEvent {
  steering::ServerName m_name;
  std::optional<steering::ServerRecord> m_record;
};

class StoreView {
 public:
  explicit StoreView(steering::Steering& steering) : m_steering(steering) {}

  // Queries.
  catalog::Snapshot MakeSnapshot(catalog::Revision servers,
                                 catalog::Revision manifest) const;

  // Commands.
  void OnStoreLost() { m_delayed_removals.OnOutageStarted(); }
  void OnStoreRegained(base::TimePoint now) {
    m_delayed_removals.OnOutageEnded(now);
  }
  // Takes a whole list of servers: those that are missing are removed.
  ServerChanges ApplyServerList(
      const std::vector<steering::ServerRecord>& records,
      base::TimePoint now);
  ServerChanges ApplyServerEvents(const std::vector<ServerEvent>& events,
                                  base::TimePoint now);
  // Whether `manifest` was put in force: it must be newer.
  bool ApplyManifest(steering::Manifest manifest) {
    return m_steering.ApplyManifest(std::move(manifest));
  }
  // Carries out removals that were held back.
  ServerChanges ApplyDueRemovals(base::TimePoint now);

 private:
  void Apply(const steering::ServerRecord& record,
             base::TimePoint now,
             ServerChanges& changes);
  void Remove(const std::vector<steering::ServerName>& names,
              base::TimePoint now,
              ServerChanges& changes);

  steering::Steering& m_steering;
  catalog::DelayedRemovals m_delayed_removals;
};

}  // namespace edge

#endif  // LIBEDGE_STORE_VIEW_H_
