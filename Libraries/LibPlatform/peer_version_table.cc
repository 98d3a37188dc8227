#include "LibPlatform/peer_version_table.h"

#include <algorithm>
#include <vector>

namespace platform {

base::ConfigurationVersion PeerVersionTable::HighestVersion() const {
  base::ConfigurationVersion highest;
  for (const auto& [id, peer] : m_peers)
    highest = std::max(highest, peer.m_version);
  return highest;
}

std::optional<base::TimePoint> PeerVersionTable::ConfirmedAt(
    base::ConfigurationVersion version) const {
  std::optional<base::TimePoint> latest;
  for (const auto& [id, peer] : m_peers) {
    if (peer.m_version == version)
      latest = std::max(latest, peer.m_confirmed_at);
  }
  return latest;
}

std::optional<base::TimePoint> PeerVersionTable::NextPullTime(
    base::ConfigurationVersion version) const {
  std::optional<base::TimePoint> next;
  for (const auto& [id, peer] : m_peers) {
    if (peer.m_version > version)
      next = std::min(next.value_or(peer.m_pull_not_before),
                      peer.m_pull_not_before);
  }
  return next;
}

void PeerVersionTable::RecordDigest(const PeerDigest& digest,
                                    base::TimePoint now) {
  const bool is_known = m_peers.contains(digest.m_peer);
  if (!is_known && m_peers.size() >= kMaximumPeers)
    return;
  Peer& peer = m_peers[digest.m_peer];
  // Datagrams may arrive out of order; a peer's version never decreases.
  if (digest.m_version < peer.m_version)
    return;
  if (digest.m_version > peer.m_version)
    peer.m_confirmed_at = std::nullopt;
  peer.m_version = digest.m_version;
  peer.m_last_digest_at = now;
  if (!digest.m_confirmation)
    return;
  const base::TimePoint confirmed_at =
      digest.m_confirmation->m_requested_at - digest.m_confirmation->m_age;
  peer.m_confirmed_at =
      std::max(peer.m_confirmed_at.value_or(confirmed_at), confirmed_at);
}

void PeerVersionTable::DeferPull(base::BalancerId peer, base::TimePoint time) {
  const auto found = m_peers.find(peer);
  if (found != m_peers.end())
    found->second.m_pull_not_before = time;
}

std::optional<PullFromPeer> PeerVersionTable::PickPullSource(
    base::ConfigurationVersion version,
    base::TimePoint now,
    base::Random& random) {
  std::vector<base::BalancerId> sources;
  base::ConfigurationVersion highest = version;
  for (const auto& [id, peer] : m_peers) {
    if (peer.m_version <= version || peer.m_version < highest ||
        peer.m_pull_not_before > now)
      continue;
    if (peer.m_version > highest)
      sources.clear();
    highest = peer.m_version;
    sources.push_back(id);
  }
  if (sources.empty())
    return std::nullopt;
  return PullFromPeer{sources[random.Below(sources.size())], highest};
}

void PeerVersionTable::Expire(base::TimePoint now) {
  std::erase_if(m_peers, [&](const auto& entry) {
    return entry.second.m_last_digest_at + kPeerLifetime < now;
  });
}

}  // namespace platform
