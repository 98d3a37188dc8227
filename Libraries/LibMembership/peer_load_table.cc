#include "LibMembership/peer_load_table.h"

#include <algorithm>

#include "LibMembership/member_snapshot.h"

namespace membership {

std::uint64_t PeerLoadTable::OpenFlowsOfPeers(
    base::BackendServerId server) const {
  const auto found = m_totals.find(ShortServerId(server));
  return found == m_totals.end() ? 0 : found->second;
}

void PeerLoadTable::Receive(base::BalancerId member,
                            const peer::LoadDigest& digest) {
  if (!m_members.contains(member) && m_members.size() >= kMaximumMembers)
    return;
  Counts& counts = m_members[member];
  for (const peer::LoadEntry& entry : digest.m_entries) {
    const bool is_known = counts.contains(entry.m_server);
    if (!is_known && counts.size() >= kMaximumServersPerMember)
      continue;
    std::uint16_t& count = counts[entry.m_server];
    std::uint64_t& total = m_totals[entry.m_server];
    total = total - count + entry.m_open_flows;
    count = entry.m_open_flows;
    if (count == 0)
      counts.erase(entry.m_server);
    if (total == 0)
      m_totals.erase(entry.m_server);
  }
}

void PeerLoadTable::RemoveMember(base::BalancerId member) {
  const auto found = m_members.find(member);
  if (found == m_members.end())
    return;
  Subtract(found->second);
  m_members.erase(found);
}

void PeerLoadTable::Retain(const MemberSnapshot& live) {
  const auto& members = live.Members();
  for (auto at = m_members.begin(); at != m_members.end();) {
    const bool is_live =
        std::any_of(members.begin(), members.end(),
                    [&](const auto& one) { return one.m_id == at->first; });
    if (is_live) {
      ++at;
      continue;
    }
    Subtract(at->second);
    at = m_members.erase(at);
  }
}

void PeerLoadTable::RetainServers(const ShortServerIds& servers) {
  const auto is_removed = [&servers](const auto& count) {
    return !servers.contains(count.first);
  };
  for (auto& [member, counts] : m_members)
    std::erase_if(counts, is_removed);
  std::erase_if(m_totals, is_removed);
}

void PeerLoadTable::Subtract(const Counts& counts) {
  for (const auto& [server, count] : counts) {
    const auto total = m_totals.find(server);
    total->second -= count;
    if (total->second == 0)
      m_totals.erase(total);
  }
}

}  // namespace membership
