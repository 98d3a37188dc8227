#include "LibEdge/belief.h"

#include <set>

namespace edge {

catalog::Snapshot Belief::MakeSnapshot(catalog::Revision servers,
                                       catalog::Revision manifest) const {
  return {servers, m_steering.directory().RegisteredRecords(), manifest,
          m_steering.routes().manifest()};
}

ServerChanges Belief::TakeServers(
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
  Remove(m_guard.OnRemoved(missing, now), now, changes);
  return changes;
}

ServerChanges Belief::TakeEvents(const std::vector<ServerEvent>& events,
                                 base::TimePoint now) {
  ServerChanges changes;
  for (const ServerEvent& event : events) {
    if (event.m_record)
      Apply(*event.m_record, now, changes);
    else
      Remove(m_guard.OnRemoved({event.m_name}, now), now, changes);
  }
  return changes;
}

ServerChanges Belief::TakeDueRemovals(base::TimePoint now) {
  ServerChanges changes;
  Remove(m_guard.TakeDue(now), now, changes);
  return changes;
}

void Belief::Apply(const steering::ServerRecord& record,
                   base::TimePoint now,
                   ServerChanges& changes) {
  m_guard.OnRegistered(record.m_name);
  const auto change = m_steering.directory().Apply(record, now);
  if (change != steering::DirectoryChange::kNone)
    changes.push_back({record, change});
}

void Belief::Remove(const std::vector<steering::ServerName>& names,
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
