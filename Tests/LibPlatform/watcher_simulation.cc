#include "LibPlatform/watcher_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

#include "LibBase/overloaded.h"

using base::BalancerId;
using base::ConfigurationVersion;
using std::chrono::milliseconds;

namespace {

constexpr auto kGossipPeriod = milliseconds(300);
constexpr auto kPlatformPollPeriod = milliseconds(10);
constexpr auto kFailureDelay = milliseconds(50);

BalancerId IdOf(std::size_t index) {
  return BalancerId(index + 1);
}

}  // namespace

WatcherSimulation::WatcherSimulation(std::size_t watcher_count,
                                     std::uint64_t seed)
    : m_random(seed) {
  for (std::size_t index = 0; index < watcher_count; ++index)
    m_nodes.push_back(
        {platform::ConfigurationWatcher(IdOf(index), {},
                                        base::Random(m_random.Next()), m_now),
         {},
         nullptr,
         {}});
  AnnounceLivePeers();
  for (std::size_t index = 0; index < watcher_count; ++index)
    Gossip(index);
}

bool WatcherSimulation::AllHaveLatestVersion() const {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    const bool is_latest = m_versions.empty() ||
                           m_nodes[index].m_version == m_versions.back().second;
    if (!m_faults.m_dead.contains(index) && !is_latest)
      return false;
  }
  return true;
}

std::vector<std::size_t> WatcherSimulation::PlatformWatchers() const {
  std::vector<std::size_t> watchers;
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (m_nodes[index].m_watcher.WatchesPlatform())
      watchers.push_back(index);
  }
  return watchers;
}

void WatcherSimulation::Write() {
  const std::uint64_t last =
      m_versions.empty() ? 0 : m_versions.back().second.value();
  m_versions.emplace_back(m_now,
                          ConfigurationVersion(last + 1 + m_random.Below(5)));
}

void WatcherSimulation::RunFor(base::Duration duration) {
  const base::TimePoint end = m_now + duration;
  while (!m_queue.empty() && m_queue.begin()->first <= end) {
    m_now = m_queue.begin()->first;
    const Action action = std::move(m_queue.begin()->second);
    m_queue.erase(m_queue.begin());
    action();
  }
  m_now = end;
}

void WatcherSimulation::SetFaults(SimulationFaults faults) {
  m_faults = std::move(faults);
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (IsUnresponsive(index))
      continue;
    for (const auto& event : std::exchange(m_nodes[index].m_inbox, {}))
      Deliver(index, event);
  }
}

void WatcherSimulation::AnnounceLivePeers() {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    platform::LivePeersChanged change;
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
      if (peer != index && !m_faults.m_dead.contains(peer))
        change.m_peers.push_back(IdOf(peer));
    }
    Deliver(index, change);
  }
}

void WatcherSimulation::Schedule(base::Duration delay, Action action) {
  m_queue.emplace(m_now + delay, std::move(action));
}

base::Duration WatcherSimulation::NetworkDelay() {
  return milliseconds(1 + m_random.Below(20));
}

bool WatcherSimulation::IsLost() {
  return m_random.Below(100) < m_faults.m_message_loss_percent;
}

bool WatcherSimulation::IsUnresponsive(std::size_t index) const {
  return m_faults.m_dead.contains(index) || m_faults.m_paused.contains(index);
}

void WatcherSimulation::Deliver(std::size_t index,
                                const platform::WatcherEvent& event) {
  Node& node = m_nodes[index];
  if (m_faults.m_dead.contains(index))
    return;
  if (m_faults.m_paused.contains(index)) {
    node.m_inbox.push_back(event);
    return;
  }
  for (const auto& effect : node.m_watcher.Handle(event, m_now))
    Apply(index, effect);
  CheckConfirmation(index);
  if (const auto deadline = node.m_watcher.NextDeadline()) {
    // A timer for a deadline that has passed would fire again and again without
    // progress of the virtual time.
    const base::Duration delay =
        std::max<base::Duration>(*deadline - m_now, milliseconds(1));
    Schedule(delay, [this, index, due = *deadline] {
      if (m_nodes[index].m_watcher.NextDeadline() == due)
        Deliver(index, platform::TimerFired{});
    });
  }
}

void WatcherSimulation::Apply(std::size_t index,
                              const platform::WatcherEffect& effect) {
  std::visit(base::Overloaded{
                 [&](const platform::ReadFromPlatform& read) {
                   ++m_platform_reads;
                   const base::TimePoint deadline = m_now + read.m_wait;
                   Schedule(NetworkDelay(), [this, index, read, deadline] {
                     PollPlatform(index, read, deadline);
                   });
                 },
                 [](const platform::CancelRead&) {},
                 [&](const platform::RequestDigest& digest_request) {
                   SendDigest(index, digest_request.m_peer.value() - 1);
                 },
                 [&](const platform::PullFromPeer& pull) { Pull(index, pull); },
                 [&](const platform::AdoptDocument& document) {
                   Adopt(index, document);
                 },
             },
             effect);
}

void WatcherSimulation::Adopt(std::size_t index,
                              const platform::AdoptDocument& document) {
  Node& node = m_nodes[index];
  const bool is_correct =
      document.m_version > node.m_version &&
      *document.m_body == std::to_string(document.m_version.value());
  m_invariants_hold = m_invariants_hold && is_correct;
  node.m_version = document.m_version;
  node.m_body = document.m_body;
}

ConfigurationVersion WatcherSimulation::VisibleVersion() const {
  ConfigurationVersion visible;
  for (const auto& [time, version] : m_versions) {
    if (time <= m_now - m_faults.m_read_lag)
      visible = version;
  }
  return visible;
}

void WatcherSimulation::PollPlatform(std::size_t index,
                                     const platform::ReadFromPlatform& read,
                                     base::TimePoint deadline) {
  if (m_faults.m_platform_is_down ||
      m_faults.m_partitioned_from_platform.contains(index)) {
    Schedule(kFailureDelay, [this, index, read] {
      Deliver(index, platform::PlatformFailed{read.m_read});
    });
    return;
  }
  const ConfigurationVersion visible = VisibleVersion();
  if (visible > read.m_newer_than) {
    m_served_at[visible] = m_now;
    auto body =
        std::make_shared<const std::string>(std::to_string(visible.value()));
    Schedule(NetworkDelay(), [this, index, read, visible, body] {
      Deliver(index, platform::PlatformDocument{read.m_read, visible, body});
    });
    return;
  }
  if (m_now >= deadline) {
    m_served_at[read.m_newer_than] = m_now;
    Schedule(NetworkDelay(), [this, index, read] {
      Deliver(index, platform::PlatformUnchanged{read.m_read});
    });
    return;
  }
  Schedule(kPlatformPollPeriod, [this, index, read, deadline] {
    PollPlatform(index, read, deadline);
  });
}

void WatcherSimulation::Pull(std::size_t index,
                             const platform::PullFromPeer& pull) {
  const std::size_t peer = pull.m_peer.value() - 1;
  if (IsLost() || IsUnresponsive(peer)) {
    Schedule(kFailureDelay, [this, index, pull] {
      Deliver(index, platform::PeerPullFailed{pull.m_peer});
    });
    return;
  }
  Schedule(NetworkDelay(), [this, index, pull, peer] {
    Deliver(index, platform::PeerDocument{pull.m_peer, m_nodes[peer].m_version,
                                          m_nodes[peer].m_body});
  });
}

void WatcherSimulation::Gossip(std::size_t index) {
  Schedule(kGossipPeriod, [this, index] { Gossip(index); });
  SendDigest(index, m_random.Below(m_nodes.size()));
}

void WatcherSimulation::SendDigest(std::size_t index, std::size_t peer) {
  if (peer == index || IsUnresponsive(index) || IsLost())
    return;
  const auto version = m_nodes[index].m_version;
  Schedule(NetworkDelay(), [this, index, peer, version, requested_at = m_now] {
    Deliver(peer, platform::PeerDigest{IdOf(index), version, std::nullopt});
    if (!IsUnresponsive(peer) && !IsLost())
      ReplyWithDigest(peer, index, requested_at);
  });
}

void WatcherSimulation::ReplyWithDigest(std::size_t from,
                                        std::size_t to,
                                        base::TimePoint requested_at) {
  const auto& watcher = m_nodes[from].m_watcher;
  platform::PeerDigest digest{IdOf(from), watcher.Version(), std::nullopt};
  if (const auto confirmed_at = watcher.ConfirmedAt())
    digest.m_confirmation =
        platform::PeerConfirmation{requested_at, m_now - *confirmed_at};
  Schedule(NetworkDelay(), [this, to, digest] { Deliver(to, digest); });
}

void WatcherSimulation::CheckConfirmation(std::size_t index) {
  const auto& watcher = m_nodes[index].m_watcher;
  const auto confirmed_at = watcher.ConfirmedAt();
  if (!confirmed_at)
    return;
  const auto served = m_served_at.find(watcher.Version());
  m_invariants_hold = m_invariants_hold && served != m_served_at.end() &&
                      *confirmed_at <= served->second;
}
