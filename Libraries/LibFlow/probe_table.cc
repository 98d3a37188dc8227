#include "LibFlow/probe_table.h"

#include <algorithm>

namespace flow {

bool PendingProbe::HasDenied(base::BackendServerId server) const {
  return std::find(m_denials.begin(), m_denials.end(), server) !=
         m_denials.end();
}

void PendingProbe::AddDenial(base::BackendServerId server) {
  if (!HasDenied(server) && m_denials.size() < kMaximumOrder)
    m_denials.push_back(server);
}

PendingProbe* ProbeTable::Find(const FlowKey& key) {
  const auto found = m_probes.find(key);
  return found == m_probes.end() ? nullptr : &found->second;
}

PendingProbe* ProbeTable::Insert(const FlowKey& key, base::TimePoint now) {
  if (PendingProbe* existing = Find(key))
    return existing;
  if (m_probes.size() >= m_maximum_probes)
    return nullptr;
  PendingProbe& probe = m_probes[key];
  probe.m_started = now;
  return &probe;
}

void ProbeTable::RemoveStartedBefore(base::TimePoint deadline) {
  std::erase_if(m_probes, [deadline](const auto& entry) {
    return entry.second.m_started < deadline;
  });
}

}  // namespace flow
