#include "LibCatalog/delayed_removals.h"

#include <algorithm>

namespace catalog {

bool DelayedRemovals::IsDelaying(base::TimePoint now) const {
  return IsInOutage() ||
         (m_outage_ended_at && now - *m_outage_ended_at < kReregistrationTime);
}

void DelayedRemovals::OnOutageEnded(OutageSource source, base::TimePoint now) {
  m_outages &= ~BitOf(source);
  if (!IsInOutage())
    DelayFrom(now);
}

void DelayedRemovals::SetOutage(bool is_in_outage,
                                std::optional<base::TimePoint> ended_at) {
  m_outages = is_in_outage ? BitOf(OutageSource::kServers) : 0;
  if (!is_in_outage && ended_at &&
      (!m_outage_ended_at || *ended_at > *m_outage_ended_at))
    DelayFrom(*ended_at);
}

void DelayedRemovals::DelayFrom(base::TimePoint ended_at) {
  m_outage_ended_at = ended_at;
  for (auto& [name, due] : m_due_times)
    due = ended_at + kReregistrationTime;
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

void DelayedRemovals::Delay(const std::vector<steering::ServerName>& names,
                            base::TimePoint now) {
  for (const steering::ServerName& name : names)
    m_due_times.emplace(name, now + kReregistrationTime);
}

std::vector<steering::ServerName> DelayedRemovals::PopDue(base::TimePoint now) {
  std::vector<steering::ServerName> due;
  if (IsInOutage())
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
