#include "LibEdge/store_view.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include "LibCatalog/snapshot_codec.h"

namespace edge {

namespace {

std::vector<steering::ServerRecord> RecordsOf(
    const std::vector<ServerEvent>& events) {
  std::vector<steering::ServerRecord> records;
  for (const ServerEvent& event : events) {
    if (event.m_record)
      records.push_back(*event.m_record);
  }
  return records;
}

}  // namespace

catalog::Snapshot StoreView::MakeSnapshot(catalog::Revision servers,
                                          catalog::Revision manifest) const {
  return {servers, RecordsNewerThan({}), manifest,
          m_steering.routes().manifest(), m_evacuations};
}

catalog::ViewDelta StoreView::MakeDelta(const catalog::KnownView& since,
                                        catalog::Revision servers,
                                        catalog::Revision manifest) const {
  catalog::ViewDelta delta;
  delta.m_servers_revision = servers;
  delta.m_manifest_revision = manifest;
  if (since.m_manifest < m_steering.routes().Version())
    delta.m_manifest = m_steering.routes().manifest();
  if (since.m_evacuations < m_evacuations.m_revision)
    delta.m_evacuations = m_evacuations;
  auto removed = m_removal_log.RemovedSince(since.m_servers);
  if (!removed) {
    delta.m_servers = RecordsNewerThan({});
    return delta;
  }
  delta.m_since = since.m_servers;
  delta.m_servers = RecordsNewerThan(since.m_servers);
  // A removed server may have registered again.
  std::erase_if(*removed, [this](const steering::ServerName& name) {
    return IsInStore(name);
  });
  delta.m_removed_servers = std::move(*removed);
  return delta;
}

ServerChanges StoreView::ApplyServerUpdate(
    catalog::CollectionUpdate update,
    const std::vector<ServerEvent>& servers,
    catalog::Revision revision,
    base::TimePoint now) {
  switch (update) {
    case catalog::CollectionUpdate::kNone:
      return {};
    case catalog::CollectionUpdate::kFirstListPage:
      if (!servers.empty())
        ApplyFirstServers(RecordsOf(servers), now);
      return {};
    case catalog::CollectionUpdate::kListComplete:
      return ApplyServerList(RecordsOf(servers), revision, now);
    case catalog::CollectionUpdate::kChanged:
      return ApplyServerEvents(servers, revision, now);
  }
  return {};
}

void StoreView::ApplyFirstServers(
    const std::vector<steering::ServerRecord>& records,
    base::TimePoint now) {
  ServerChanges changes;
  for (const steering::ServerRecord& record : records)
    Apply(record, now, changes);
  m_steering.SetSomeServersKnown();
}

ServerChanges StoreView::ApplyServerList(
    const std::vector<steering::ServerRecord>& records,
    catalog::Revision revision,
    base::TimePoint now) {
  m_steering.SetServersKnown();
  m_removal_log.OnListed(revision);
  ServerChanges changes;
  std::set<steering::ServerName> listed;
  for (const steering::ServerRecord& record : records) {
    listed.insert(record.m_name);
    Apply(record, now, changes);
  }
  std::vector<steering::ServerName> missing;
  for (const steering::ServerName& name :
       m_steering.directory().RegisteredNames()) {
    if (!listed.contains(name))
      missing.push_back(name);
  }
  RemoveRecords(missing, ShowsExpiries(missing), now, changes);
  m_steering.directory().SetHasFirstList();
  return changes;
}

ServerChanges StoreView::ApplyServerEvents(
    const std::vector<ServerEvent>& events,
    catalog::Revision revision,
    base::TimePoint now) {
  std::vector<steering::ServerName> removed;
  for (const ServerEvent& event : events) {
    if (!event.m_record)
      removed.push_back(event.m_name);
  }
  const bool may_have_expired = ShowsExpiries(removed);
  ServerChanges changes;
  for (const ServerEvent& event : events) {
    if (event.m_record) {
      Apply(*event.m_record, now, changes);
      continue;
    }
    m_removal_log.OnRemoved(event.m_name, revision);
    RemoveRecords({event.m_name}, may_have_expired, now, changes);
  }
  return changes;
}

ServerChanges StoreView::ApplyServerDelta(const catalog::ViewDelta& delta,
                                          base::TimePoint now) {
  if (delta.m_since == catalog::Revision())
    return ApplyServerList(delta.m_servers, delta.m_servers_revision, now);
  std::vector<ServerEvent> events;
  events.reserve(delta.m_servers.size() + delta.m_removed_servers.size());
  for (const steering::ServerName& name : delta.m_removed_servers)
    events.push_back({name, std::nullopt});
  for (const steering::ServerRecord& record : delta.m_servers)
    events.push_back({record.m_name, record});
  return ApplyServerEvents(events, delta.m_servers_revision, now);
}

EvacuationChanges StoreView::ApplyEvacuations(catalog::Evacuations evacuations,
                                              base::TimePoint now) {
  Truncate(evacuations);
  EvacuationChanges changes;
  std::set<base::DataCentreId> evacuated;
  for (const auto& [data_centre, revision] : evacuations.m_objects) {
    evacuated.insert(data_centre);
    if (!m_evacuations.m_objects.contains(data_centre))
      changes.push_back({data_centre, true});
  }
  for (const auto& [data_centre, revision] : m_evacuations.m_objects) {
    if (!evacuated.contains(data_centre))
      changes.push_back({data_centre, false});
  }
  m_evacuations = std::move(evacuations);
  if (changes.empty())
    return changes;
  m_steering.SetEvacuated(std::move(evacuated), now);
  auto servers = m_steering.directory().CountByDataCentre();
  for (EvacuationChange& change : changes)
    change.m_servers = servers[change.m_data_centre];
  return changes;
}

EvacuationChanges StoreView::ApplyEvacuationEvents(
    const std::vector<EvacuationEvent>& events,
    catalog::Revision revision,
    base::TimePoint now) {
  catalog::Evacuations evacuations = m_evacuations;
  evacuations.m_revision = revision;
  for (const EvacuationEvent& event : events) {
    if (event.m_revision)
      evacuations.m_objects[event.m_data_centre] = *event.m_revision;
    else
      evacuations.m_objects.erase(event.m_data_centre);
  }
  return ApplyEvacuations(std::move(evacuations), now);
}

void StoreView::Truncate(catalog::Evacuations& evacuations) const {
  auto& objects = evacuations.m_objects;
  if (objects.size() <= catalog::kMaximumEvacuations)
    return;
  // Other programs can write objects with any name, and must not displace the
  // evacuation of a data centre in use.
  const auto servers = m_steering.directory().CountByDataCentre();
  for (const bool spares_known : {true, false}) {
    auto entry = objects.end();
    while (objects.size() > catalog::kMaximumEvacuations &&
           entry != objects.begin()) {
      --entry;
      if (!spares_known || !servers.contains(entry->first))
        entry = objects.erase(entry);
    }
  }
}

ServerChanges StoreView::ApplyDueRemovals(base::TimePoint now) {
  ServerChanges changes;
  Remove(m_delayed_removals.PopDue(now), now, changes);
  return changes;
}

bool StoreView::IsInStore(const steering::ServerName& name) const {
  const steering::KnownServer* server = m_steering.directory().FindByName(name);
  return server != nullptr && !server->IsGone() &&
         !m_delayed_removals.IsPending(name);
}

std::vector<steering::ServerRecord> StoreView::RecordsNewerThan(
    catalog::Revision revision) const {
  auto records = m_steering.directory().RecordsNewerThan(revision);
  std::erase_if(records, [this](const steering::ServerRecord& record) {
    return m_delayed_removals.IsPending(record.m_name);
  });
  return records;
}

void StoreView::Apply(const steering::ServerRecord& record,
                      base::TimePoint now,
                      ServerChanges& changes) {
  m_delayed_removals.OnRecordRegistered(record.m_name);
  const auto change = m_steering.directory().Apply(record, now);
  if (change != steering::DirectoryChange::kNone)
    changes.push_back({record, change});
}

bool StoreView::ShowsExpiries(
    const std::vector<steering::ServerName>& names) const {
  std::size_t ready = 0;
  std::size_t draining = 0;
  for (const steering::ServerName& name : names) {
    const steering::KnownServer* server =
        m_steering.directory().FindByName(name);
    if (server != nullptr && !server->IsGone())
      ++(server->AcceptsOpenings() ? ready : draining);
  }
  return draining > 0 && ready >= draining;
}

void StoreView::RemoveRecords(const std::vector<steering::ServerName>& names,
                              bool may_have_expired,
                              base::TimePoint now,
                              ServerChanges& changes) {
  auto removed = m_delayed_removals.OnRecordsRemoved(names, now);
  if (may_have_expired) {
    const auto draining =
        std::stable_partition(removed.begin(), removed.end(),
                              [this](const steering::ServerName& name) {
                                const steering::KnownServer* server =
                                    m_steering.directory().FindByName(name);
                                return server == nullptr || server->IsGone() ||
                                       server->AcceptsOpenings();
                              });
    m_delayed_removals.Delay({draining, removed.end()}, now);
    removed.erase(draining, removed.end());
  }
  Remove(removed, now, changes);
}

void StoreView::Remove(const std::vector<steering::ServerName>& names,
                       base::TimePoint now,
                       ServerChanges& changes) {
  for (const steering::ServerName& name : names) {
    if (m_steering.directory().Remove(name, now) ==
        steering::DirectoryChange::kNone)
      continue;
    changes.push_back({m_steering.directory().FindByName(name)->m_record,
                       steering::DirectoryChange::kGone});
  }
}

}  // namespace edge
