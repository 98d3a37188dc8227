#include "load_sharer.h"

#include <utility>

namespace service {

namespace {

// A balancer may send 4 KB a second to its peers. The difference is reserved
// for the messages that it sends when many members change at once.
constexpr double kControlBytesPerSecond = 3'700;

}  // namespace

LoadSharer::LoadSharer(base::TimePoint now)
    : m_publisher(now, {.m_bytes_per_second = kControlBytesPerSecond}),
      m_purged_at(now) {}

LoadSharer::OpenFlows LoadSharer::PeerOpenFlows(const OpenFlows& own) const {
  OpenFlows peer_flows;
  for (const auto& [service, counts] : own) {
    std::vector<placement::OpenFlowCount>& others = peer_flows[service];
    for (const placement::OpenFlowCount& count : counts)
      others.push_back(
          {count.m_server, static_cast<std::int32_t>(
                               m_peer_loads.OpenFlowsOfPeers(count.m_server))});
  }
  return peer_flows;
}

void LoadSharer::SetOwnOpenFlows(const OpenFlows& own, base::TimePoint now) {
  membership::ShortServerIds servers;
  for (const auto& [service, counts] : own) {
    for (const placement::OpenFlowCount& count : counts) {
      servers.insert(membership::ShortServerId(count.m_server));
      m_publisher.SetOpenFlows(count.m_server,
                               static_cast<std::uint64_t>(count.m_open_flows));
    }
  }
  const bool is_purge_due = now - m_purged_at >= kPurgePeriod;
  if (servers == m_servers && !is_purge_due)
    return;
  m_servers = std::move(servers);
  m_purged_at = now;
  m_publisher.RetainServers(m_servers);
  m_peer_loads.RetainServers(m_servers);
}

void LoadSharer::Receive(base::BalancerId member,
                         const peer::LoadDigest& digest) {
  m_peer_loads.Receive(member, digest);
}

void LoadSharer::RetainPeers(const membership::MemberSnapshot& live) {
  m_peer_loads.Retain(live);
}

std::optional<peer::LoadDigest> LoadSharer::NextDigest(std::size_t recipients,
                                                       std::uint64_t sent_bytes,
                                                       base::TimePoint now) {
  m_publisher.CountOtherBytes(sent_bytes - m_sent_bytes);
  m_sent_bytes = sent_bytes;
  return m_publisher.Next(recipients, now);
}

}  // namespace service
