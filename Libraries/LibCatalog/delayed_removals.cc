#include "LibCatalog/delayed_removals.h"

#include <algorithm>

namespace catalog {

bool DelayedRemovals::IsDelaying(base::TimePoint now) const {
  return m_is_in_outage ||
         (m_outage_ended_at && now - *m_outage_ended_at < kReregistrationTime);
}

void DelayedRemovals::OnOutageEnded(base::TimePoint now) {
  m_is_in_outage = false;
  m_outage_ended_at = now;
  for (auto& [name, due] : m_due_times)
    due = now + kReregistrationTime;
}

std::vector<steering::ServerName> DelayedRemovals::OnRecordsRemoved(
    const std::vector<steering::ServerName>& names,
    base::TimePoint now) {
  if (!IsDelaying(now))
    return names;
  const base::TimePoint due =
      m_outage_ended_at.value_or(now) + kReregistrationTime;
  for (const steering::ServerName& name : names)
    m_due_times.emplace(name, std::max(due, now));
  return {};
}

std::vector<steering::ServerName> DelayedRemovals::PopDue(base::TimePoint now) {
  std::vector<steering::ServerName> due;
  if (m_is_in_outage)
    return due;
  for (auto entry = m_due_times.begin(); entry != m_due_times.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    due.push_back(entry->first);
    entry = m_due_times.erase(entry);
  }
  return due;
}

}  // namespace catalog
