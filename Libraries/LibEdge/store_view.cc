#include "LibEdge/store_view.h"

#include <set>

namespace edge {

catalog::Snapshot StoreView::MakeSnapshot(catalog::Revision servers,
                                          catalog::Revision manifest) const {
  return {servers, m_steering.directory().RegisteredRecords(), manifest,
          m_steering.routes().manifest()};
}

ServerChanges StoreView::ApplyServerList(
    const std::vector<steering::ServerRecord>& records,
    base::TimePoint now) {
  m_steering.SetServersKnown();
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
  Remove(m_delayed_removals.OnRecordsRemoved(missing, now), now, changes);
  return changes;
}

ServerChanges StoreView::ApplyServerEvents(
    const std::vector<ServerEvent>& events,
    base::TimePoint now) {
  ServerChanges changes;
  for (const ServerEvent& event : events) {
    if (event.m_record)
      Apply(*event.m_record, now, changes);
    else
      Remove(m_delayed_removals.OnRecordsRemoved({event.m_name}, now), now,
             changes);
  }
  return changes;
}

ServerChanges StoreView::ApplyDueRemovals(base::TimePoint now) {
  ServerChanges changes;
  Remove(m_delayed_removals.PopDue(now), now, changes);
  return changes;
}

void StoreView::Apply(const steering::ServerRecord& record,
                      base::TimePoint now,
                      ServerChanges& changes) {
  m_delayed_removals.OnRecordRegistered(record.m_name);
  const auto change = m_steering.directory().Apply(record, now);
  if (change != steering::DirectoryChange::kNone)
    changes.push_back({record, change});
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
