#include "LibMembership/remote_peers.h"

#include <algorithm>

#include "LibMembership/vm_entry.h"

namespace membership {

std::vector<base::DataCentreId> RemotePeers::DataCentres() const {
  std::vector<base::DataCentreId> data_centres;
  for (const auto& [data_centre, endpoints] : m_endpoints)
    data_centres.push_back(data_centre);
  return data_centres;
}

std::optional<base::Endpoint> RemotePeers::PickEndpoint(
    const base::DataCentreId& data_centre,
    base::Random& random) const {
  const auto found = m_endpoints.find(data_centre);
  if (found == m_endpoints.end() || found->second.empty())
    return std::nullopt;
  return found->second[random.Below(found->second.size())];
}

void RemotePeers::Replace(const std::vector<VmEntry>& list,
                          const base::DataCentreId& own) {
  m_endpoints.clear();
  for (const VmEntry& entry : list) {
    if (entry.m_data_centre != own && entry.m_state == VmState::kLive)
      AddEndpoint(entry.m_data_centre, entry.m_peer);
  }
}

void RemotePeers::AddPeer(const peer::MemberRecord& record) {
  const bool is_full = m_known_ids.size() >= kMaximumKnownIds ||
                       m_recorded_endpoints.size() >= kMaximumKnownIds;
  if (is_full) {
    m_known_ids.clear();
    m_recorded_endpoints.clear();
  }
  m_known_ids.insert(record.m_id);
  m_recorded_endpoints.insert(record.m_peer);
  if (record.m_state == peer::MemberState::kServing)
    AddEndpoint(record.m_data_centre, record.m_peer);
}

void RemotePeers::AddEndpoint(const base::DataCentreId& data_centre,
                              base::Endpoint endpoint) {
  const bool is_known = m_endpoints.contains(data_centre);
  if (!is_known && m_endpoints.size() >= kMaximumDataCentres)
    return;
  std::vector<base::Endpoint>& endpoints = m_endpoints[data_centre];
  const bool is_listed = std::find(endpoints.begin(), endpoints.end(),
                                   endpoint) != endpoints.end();
  if (!is_listed && endpoints.size() < kMaximumEndpointsPerDataCentre)
    endpoints.push_back(endpoint);
}

}  // namespace membership
