// Applies the lists and events of the store, or the snapshot of a peer, to the
// servers, routes and evacuations that steering uses. Does no I/O; every change
// of a server or an evacuation is returned so that the owner can log it.

#ifndef LIBEDGE_STORE_VIEW_H_
#define LIBEDGE_STORE_VIEW_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/time.h"
#include "LibCatalog/collection_watcher.h"
#include "LibCatalog/delayed_removals.h"
#include "LibCatalog/evacuations.h"
#include "LibCatalog/known_view.h"
#include "LibCatalog/removal_log.h"
#include "LibCatalog/revision.h"
#include "LibCatalog/snapshot.h"
#include "LibCatalog/view_delta.h"
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

// The revision of the object that evacuates a data centre, or no revision if
// the object was removed.
struct EvacuationEvent {
  base::DataCentreId m_data_centre;
  std::optional<catalog::Revision> m_revision;
};

// A data centre whose evacuation has started or ended.
struct EvacuationChange {
  base::DataCentreId m_data_centre;
  bool m_has_started = false;
  // The registered servers there. None: no server has named this data centre.
  std::size_t m_servers = 0;
};
using EvacuationChanges = std::vector<EvacuationChange>;

class StoreView {
 public:
  explicit StoreView(steering::Steering& steering) : m_steering(steering) {}

  // Queries.
  // `servers` and `manifest` are the revisions up to which the view contains
  // the changes of each collection. Neither a snapshot nor a delta contains a
  // server whose record was removed, even if the removal is delayed here: the
  // peer would not learn of the removal from later changes.
  catalog::Snapshot MakeSnapshot(catalog::Revision servers,
                                 catalog::Revision manifest) const;
  // The changes of the servers since a peer's view, and the manifest and the
  // evacuations if they are newer than the peer's. Contains all servers if the
  // changes since then are not known.
  catalog::ViewDelta MakeDelta(const catalog::KnownView& since,
                               catalog::Revision servers,
                               catalog::Revision manifest) const;
  const catalog::Evacuations& evacuations() const { return m_evacuations; }
  const catalog::DelayedRemovals& delayed_removals() const {
    return m_delayed_removals;
  }

  // Commands.
  // During an outage of the store and for some time after its end, servers are
  // removed with a delay.
  void OnStoreLost(catalog::OutageSource source) {
    m_delayed_removals.OnOutageStarted(source);
  }
  void OnStoreRegained(catalog::OutageSource source, base::TimePoint now) {
    m_delayed_removals.OnOutageEnded(source, now);
  }
  // See DelayedRemovals::OnStoreRestored.
  void OnStoreRestored(base::TimePoint now) {
    m_delayed_removals.OnStoreRestored(now);
  }
  // See DelayedRemovals::SetOutage.
  void SetOutage(bool is_in_outage, std::optional<base::TimePoint> ended_at) {
    m_delayed_removals.SetOutage(is_in_outage, ended_at);
  }
  // Applies the servers that a call to the store returned, as `update`
  // requires. `revision` is the known revision after the call.
  ServerChanges ApplyServerUpdate(catalog::CollectionUpdate update,
                                  const std::vector<ServerEvent>& servers,
                                  catalog::Revision revision,
                                  base::TimePoint now);
  // Applies servers of a list in progress while none are known, so that
  // openings can be placed before a long list is complete.
  void ApplyFirstServers(const std::vector<steering::ServerRecord>& records,
                         base::TimePoint now);
  // Applies a list of `revision`. Known servers that are not in `records` are
  // removed, at once or after a delay (see DelayedRemovals).
  ServerChanges ApplyServerList(
      const std::vector<steering::ServerRecord>& records,
      catalog::Revision revision,
      base::TimePoint now);
  // Applies the changes between the known revision and `revision`.
  ServerChanges ApplyServerEvents(const std::vector<ServerEvent>& events,
                                  catalog::Revision revision,
                                  base::TimePoint now);
  // Applies the servers of a delta of a peer. The view must contain the changes
  // up to `delta.m_since`.
  ServerChanges ApplyServerDelta(const catalog::ViewDelta& delta,
                                 base::TimePoint now);
  // Puts `manifest` in force. Returns false and changes nothing if the manifest
  // in force has the same or a newer version.
  bool ApplyManifest(steering::Manifest manifest) {
    return m_steering.ApplyManifest(std::move(manifest));
  }
  // Replaces the known evacuations. Of more than kMaximumEvacuations, those of
  // data centres with servers are kept first. To be called with the list of a
  // later era too, which replaces that of the former one.
  EvacuationChanges ApplyEvacuations(catalog::Evacuations evacuations,
                                     base::TimePoint now);
  // Applies the changes between the known revision and `revision`.
  EvacuationChanges ApplyEvacuationEvents(
      const std::vector<EvacuationEvent>& events,
      catalog::Revision revision,
      base::TimePoint now);
  // Applies the delayed removals that are due.
  ServerChanges ApplyDueRemovals(base::TimePoint now);

 private:
  // Whether the store has a record of the server, as far as this view shows.
  bool IsInStore(const steering::ServerName& name) const;
  // The records in the store that are newer than `revision`.
  std::vector<steering::ServerRecord> RecordsNewerThan(
      catalog::Revision revision) const;
  void Apply(const steering::ServerRecord& record,
             base::TimePoint now,
             ServerChanges& changes);
  // Whether a response that removes `names` shows that records have expired,
  // also those of draining servers. Servers seldom end without draining, so as
  // many ready servers as draining ones among them are a sign of an outage that
  // fell between two responses.
  bool ShowsExpiries(const std::vector<steering::ServerName>& names) const;
  // Removes the servers whose records were removed, or delays the removal.
  void RemoveRecords(const std::vector<steering::ServerName>& names,
                     bool may_have_expired,
                     base::TimePoint now,
                     ServerChanges& changes);
  void Remove(const std::vector<steering::ServerName>& names,
              base::TimePoint now,
              ServerChanges& changes);
  // Removes what exceeds kMaximumEvacuations.
  void Truncate(catalog::Evacuations& evacuations) const;

  steering::Steering& m_steering;
  catalog::DelayedRemovals m_delayed_removals;
  catalog::RemovalLog m_removal_log;
  catalog::Evacuations m_evacuations;
};

}  // namespace edge

#endif  // LIBEDGE_STORE_VIEW_H_
