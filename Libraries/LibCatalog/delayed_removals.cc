#include "LibCatalog/delayed_removals.h"

#include <algorithm>

namespace catalog {

bool DelayedRemovals::IsDelaying(base::TimePoint now) const {
  return m_is_store_lost ||
         (m_regained_at && now - *m_regained_at < kReregistrationTime);
}

void DelayedRemovals::OnOutageEnded(base::TimePoint now) {
  m_is_store_lost = false;
  m_regained_at = now;
  for (auto& [name, due] : m_held)
    due = now + kReregistrationTime;
}

std::vector<steering::ServerName> DelayedRemovals::OnRecordsRemoved(
    const std::vector<steering::ServerName>& names,
    base::TimePoint now) {
  if (!IsDelaying(now))
    return names;
  const base::TimePoint due = m_regained_at.value_or(now) + kReregistrationTime;
  for (const steering::ServerName& name : names)
    m_held.emplace(name, std::max(due, now));
  return {};
}

std::vector<steering::ServerName> DelayedRemovals::PopDue(base::TimePoint now) {
  std::vector<steering::ServerName> due;
  if (m_is_store_lost)
    return due;
  for (auto entry = m_held.begin(); entry != m_held.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    due.push_back(entry->first);
    entry = m_held.erase(entry);
  }
  return due;
}

}  // namespace catalog
