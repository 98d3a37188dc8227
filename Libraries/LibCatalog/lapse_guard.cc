#include "LibCatalog/lapse_guard.h"

#include <algorithm>

namespace catalog {

bool LapseGuard::IsHoldingBack(base::TimePoint now) const {
  return m_is_lost || (m_regained_at && now - *m_regained_at < kReturnTime);
}

void LapseGuard::OnRegained(base::TimePoint now) {
  m_is_lost = false;
  m_regained_at = now;
  for (auto& [name, due] : m_held)
    due = now + kReturnTime;
}

std::vector<steering::ServerName> LapseGuard::OnRemoved(
    const std::vector<steering::ServerName>& names,
    base::TimePoint now) {
  if (!IsHoldingBack(now))
    return names;
  const base::TimePoint due = m_regained_at.value_or(now) + kReturnTime;
  for (const steering::ServerName& name : names)
    m_held.emplace(name, std::max(due, now));
  return {};
}

std::vector<steering::ServerName> LapseGuard::TakeDue(base::TimePoint now) {
  std::vector<steering::ServerName> due;
  if (m_is_lost)
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
