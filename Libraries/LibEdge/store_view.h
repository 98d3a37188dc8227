// Applies the lists and events of the store, or the snapshot of a peer, to the
// servers and routes that steering uses. Does no I/O; every change of a server
// is returned so that the owner can log it.

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

// The current record of a server, or no record if the server was removed.
struct ServerEvent {
  steering::ServerName m_name;
  std::optional<steering::ServerRecord> m_record;
};

class StoreView {
 public:
  explicit StoreView(steering::Steering& steering) : m_steering(steering) {}

  // Queries.
  // `servers` and `manifest` are the revisions up to which the view contains
  // the changes of each collection.
  catalog::Snapshot MakeSnapshot(catalog::Revision servers,
                                 catalog::Revision manifest) const;

  // Commands.
  // During an outage of the store and for some time after its end, servers are
  // removed with a delay.
  void OnStoreLost() { m_delayed_removals.OnOutageStarted(); }
  void OnStoreRegained(base::TimePoint now) {
    m_delayed_removals.OnOutageEnded(now);
  }
  // Applies a complete list: known servers that are not in `records` are
  // removed, at once or after a delay (see DelayedRemovals).
  ServerChanges ApplyServerList(
      const std::vector<steering::ServerRecord>& records,
      base::TimePoint now);
  ServerChanges ApplyServerEvents(const std::vector<ServerEvent>& events,
                                  base::TimePoint now);
  // Puts `manifest` in force. Returns false and changes nothing if the manifest
  // in force has the same or a newer version.
  bool ApplyManifest(steering::Manifest manifest) {
    return m_steering.ApplyManifest(std::move(manifest));
  }
  // Applies the delayed removals that are due.
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
