#include "LibFlow/opening_table.h"

#include <algorithm>

namespace flow {

namespace {

// An IPv4 header and a TCP header with all their options.
constexpr std::size_t kMaximumOpeningBytes = 120;

}  // namespace

bool PendingOpening::WasTried(base::BackendServerId server) const {
  return std::find(m_tried.begin(), m_tried.end(), server) != m_tried.end();
}

PendingOpening* OpeningTable::Find(const FlowKey& key) {
  const auto found = m_openings.find(key);
  return found == m_openings.end() ? nullptr : &found->second;
}

PendingOpening* OpeningTable::Insert(const FlowKey& key,
                                     std::span<const std::uint8_t> bytes,
                                     base::TimePoint now) {
  if (m_openings.size() >= m_maximum_openings)
    return nullptr;
  PendingOpening& opening = m_openings[key];
  opening = PendingOpening();
  opening.m_first_sent = now;
  opening.m_last_sent = now;
  if (bytes.size() <= kMaximumOpeningBytes)
    opening.m_bytes.assign(bytes.begin(), bytes.end());
  return &opening;
}

void OpeningTable::Erase(const FlowKey& key) {
  m_openings.erase(key);
}

void OpeningTable::RemoveStartedBefore(base::TimePoint deadline) {
  std::erase_if(m_openings, [deadline](const auto& entry) {
    return entry.second.m_first_sent < deadline;
  });
}

}  // namespace flow
