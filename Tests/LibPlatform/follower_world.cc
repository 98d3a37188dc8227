#include "LibPlatform/follower_world.h"

#include <algorithm>
#include <string>
#include <utility>

#include "LibBase/overloaded.h"

using base::BalancerId;
using base::ConfigurationVersion;
using std::chrono::milliseconds;

namespace {

constexpr auto kGossipPeriod = milliseconds(300);
constexpr auto kPlatformPoll = milliseconds(10);
constexpr auto kFailureDelay = milliseconds(50);

BalancerId IdOf(std::size_t index) {
  return BalancerId(index + 1);
}

}  // namespace

FollowerWorld::FollowerWorld(std::size_t followers, std::uint64_t seed)
    : m_random(seed) {
  for (std::size_t index = 0; index < followers; ++index)
    m_nodes.push_back(
        {platform::ConfigurationFollower(IdOf(index), {},
                                         base::Random(m_random.Next()), m_now),
         {},
         nullptr,
         {}});
  AnnounceLivePeers();
  for (std::size_t index = 0; index < followers; ++index)
    Gossip(index);
}

bool FollowerWorld::AllHaveLatest() const {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    const bool is_latest = m_versions.empty() ||
                           m_nodes[index].m_version == m_versions.back().second;
    if (!m_faults.m_dead.contains(index) && !is_latest)
      return false;
  }
  return true;
}

std::vector<std::size_t> FollowerWorld::Watchers() const {
  std::vector<std::size_t> watchers;
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (m_nodes[index].m_follower.IsWatcher())
      watchers.push_back(index);
  }
  return watchers;
}

void FollowerWorld::Write() {
  const std::uint64_t last =
      m_versions.empty() ? 0 : m_versions.back().second.value();
  m_versions.emplace_back(m_now,
                          ConfigurationVersion(last + 1 + m_random.Below(5)));
}

void FollowerWorld::RunFor(base::Duration duration) {
  const base::TimePoint end = m_now + duration;
  while (!m_queue.empty() && m_queue.begin()->first <= end) {
    m_now = m_queue.begin()->first;
    const Action action = std::move(m_queue.begin()->second);
    m_queue.erase(m_queue.begin());
    action();
  }
  m_now = end;
}

void FollowerWorld::SetFaults(WorldFaults faults) {
  m_faults = std::move(faults);
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (IsSilent(index))
      continue;
    for (const auto& event : std::exchange(m_nodes[index].m_inbox, {}))
      Deliver(index, event);
  }
}

void FollowerWorld::AnnounceLivePeers() {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    platform::LivePeersChanged change;
    for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
      if (peer != index && !m_faults.m_dead.contains(peer))
        change.m_peers.push_back(IdOf(peer));
    }
    Deliver(index, change);
  }
}

void FollowerWorld::After(base::Duration delay, Action action) {
  m_queue.emplace(m_now + delay, std::move(action));
}

base::Duration FollowerWorld::NetworkDelay() {
  return milliseconds(1 + m_random.Below(20));
}

bool FollowerWorld::IsLost() {
  return m_random.Below(100) < m_faults.m_loss;
}

bool FollowerWorld::IsSilent(std::size_t index) const {
  return m_faults.m_dead.contains(index) || m_faults.m_frozen.contains(index);
}

void FollowerWorld::Deliver(std::size_t index,
                            const platform::FollowerEvent& event) {
  Node& node = m_nodes[index];
  if (m_faults.m_dead.contains(index))
    return;
  if (m_faults.m_frozen.contains(index)) {
    node.m_inbox.push_back(event);
    return;
  }
  for (const auto& effect : node.m_follower.Handle(event, m_now))
    Apply(index, effect);
  CheckConfirmation(index);
  if (const auto deadline = node.m_follower.NextDeadline()) {
    // A deadline that has passed would loop without progress.
    const base::Duration delay =
        std::max<base::Duration>(*deadline - m_now, milliseconds(1));
    After(delay, [this, index, due = *deadline] {
      if (m_nodes[index].m_follower.NextDeadline() == due)
        Deliver(index, platform::TimerFired{});
    });
  }
}

void FollowerWorld::Apply(std::size_t index,
                          const platform::FollowerEffect& effect) {
  std::visit(base::Overloaded{
                 [&](const platform::AskPlatform& ask) {
                   ++m_asks;
                   const base::TimePoint deadline = m_now + ask.m_wait;
                   After(NetworkDelay(), [this, index, ask, deadline] {
                     PollPlatform(index, ask, deadline);
                   });
                 },
                 [](const platform::CancelAsk&) {},
                 [&](const platform::ProbePeer& probe) {
                   Probe(index, probe.m_peer.value() - 1);
                 },
                 [&](const platform::PullFromPeer& pull) { Pull(index, pull); },
                 [&](const platform::AdoptDocument& document) {
                   Adopt(index, document);
                 },
             },
             effect);
}

void FollowerWorld::Adopt(std::size_t index,
                          const platform::AdoptDocument& document) {
  Node& node = m_nodes[index];
  const bool is_right =
      document.m_version > node.m_version &&
      *document.m_body == std::to_string(document.m_version.value());
  m_is_sound = m_is_sound && is_right;
  node.m_version = document.m_version;
  node.m_body = document.m_body;
}

ConfigurationVersion FollowerWorld::VisibleVersion() const {
  ConfigurationVersion visible;
  for (const auto& [time, version] : m_versions) {
    if (time <= m_now - m_faults.m_lag)
      visible = version;
  }
  return visible;
}

void FollowerWorld::PollPlatform(std::size_t index,
                                 const platform::AskPlatform& ask,
                                 base::TimePoint deadline) {
  if (m_faults.m_platform_is_down ||
      m_faults.m_cut_from_platform.contains(index)) {
    After(kFailureDelay, [this, index, ask] {
      Deliver(index, platform::PlatformFailed{ask.m_ask});
    });
    return;
  }
  const ConfigurationVersion visible = VisibleVersion();
  if (visible > ask.m_newer_than) {
    m_served_at[visible] = m_now;
    auto body =
        std::make_shared<const std::string>(std::to_string(visible.value()));
    After(NetworkDelay(), [this, index, ask, visible, body] {
      Deliver(index, platform::PlatformDocument{ask.m_ask, visible, body});
    });
    return;
  }
  if (m_now >= deadline) {
    m_served_at[ask.m_newer_than] = m_now;
    After(NetworkDelay(), [this, index, ask] {
      Deliver(index, platform::PlatformUnchanged{ask.m_ask});
    });
    return;
  }
  After(kPlatformPoll,
        [this, index, ask, deadline] { PollPlatform(index, ask, deadline); });
}

void FollowerWorld::Pull(std::size_t index,
                         const platform::PullFromPeer& pull) {
  const std::size_t peer = pull.m_peer.value() - 1;
  if (IsLost() || IsSilent(peer)) {
    After(kFailureDelay, [this, index, pull] {
      Deliver(index, platform::PeerPullFailed{pull.m_peer});
    });
    return;
  }
  After(NetworkDelay(), [this, index, pull, peer] {
    Deliver(index, platform::PeerDocument{pull.m_peer, m_nodes[peer].m_version,
                                          m_nodes[peer].m_body});
  });
}

void FollowerWorld::Gossip(std::size_t index) {
  After(kGossipPeriod, [this, index] { Gossip(index); });
  Probe(index, m_random.Below(m_nodes.size()));
}

void FollowerWorld::Probe(std::size_t index, std::size_t peer) {
  if (peer == index || IsSilent(index) || IsLost())
    return;
  const auto version = m_nodes[index].m_version;
  After(NetworkDelay(), [this, index, peer, version, asked_at = m_now] {
    Deliver(peer, platform::PeerDigest{IdOf(index), version, std::nullopt});
    if (!IsSilent(peer) && !IsLost())
      AnswerGossip(peer, index, asked_at);
  });
}

void FollowerWorld::AnswerGossip(std::size_t from,
                                 std::size_t to,
                                 base::TimePoint asked_at) {
  const auto& follower = m_nodes[from].m_follower;
  platform::PeerDigest digest{IdOf(from), follower.Version(), std::nullopt};
  if (const auto confirmed_at = follower.ConfirmedAt())
    digest.m_confirmation =
        platform::PeerConfirmation{asked_at, m_now - *confirmed_at};
  After(NetworkDelay(), [this, to, digest] { Deliver(to, digest); });
}

void FollowerWorld::CheckConfirmation(std::size_t index) {
  const auto& follower = m_nodes[index].m_follower;
  const auto confirmed_at = follower.ConfirmedAt();
  if (!confirmed_at)
    return;
  const auto served = m_served_at.find(follower.Version());
  m_is_sound = m_is_sound && served != m_served_at.end() &&
               *confirmed_at <= served->second;
}
