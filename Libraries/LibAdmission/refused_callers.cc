#include "LibAdmission/refused_callers.h"

namespace admission {

bool RefusedCallers::IsRetry(const Key& key, base::TimePoint now) const {
  const auto found = m_entries.find(key);
  return found != m_entries.end() &&
         now - found->second.m_refused_at < kRetention;
}

void RefusedCallers::RecordRefusal(const Key& key, base::TimePoint now) {
  if (m_entries.size() >= kMaximumEntries)
    Purge(now);
  if (m_entries.size() >= kMaximumEntries)
    return;
  Entry& entry = m_entries[key];
  if (now - entry.m_refused_at >= kRetention)
    entry.m_expected_retries = 0;
  entry.m_refused_at = now;
  entry.m_expected_retries += kRetriesPerRefusal;
}

void RefusedCallers::RecordRetry(const Key& key) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end())
    return;
  if (--found->second.m_expected_retries == 0)
    m_entries.erase(found);
}

void RefusedCallers::Purge(base::TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return now - entry.second.m_refused_at >= kRetention;
  });
}

}  // namespace admission
