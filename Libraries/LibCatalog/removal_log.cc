#include "LibCatalog/removal_log.h"

namespace catalog {

std::optional<std::vector<steering::ServerName>> RemovalLog::RemovedSince(
    Revision since) const {
  if (!m_complete_since || since < *m_complete_since)
    return std::nullopt;
  std::vector<steering::ServerName> removed;
  for (const auto& [revision, name] : m_removals) {
    if (revision > since)
      removed.push_back(name);
  }
  return removed;
}

void RemovalLog::OnListed(Revision revision) {
  m_removals.clear();
  m_complete_since = revision;
}

void RemovalLog::OnRemoved(const steering::ServerName& name,
                           Revision revision) {
  m_removals.emplace_back(revision, name);
  while (m_removals.size() > kMaximumRemovals) {
    m_complete_since = m_removals.front().first;
    m_removals.pop_front();
  }
}

}  // namespace catalog
