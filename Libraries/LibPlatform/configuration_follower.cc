#include "LibPlatform/configuration_follower.h"

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"
#include "LibBase/overloaded.h"

namespace platform {

namespace {

// The rendezvous key of the watch (Thaler and Ravishankar, 1998).
constexpr std::uint64_t kWatchKey = 0x636f6e6669677572ULL;

std::uint64_t WatchScore(base::BalancerId balancer) {
  return base::CombineHashes(kWatchKey, balancer.value());
}

bool PrecedesInWatchOrder(base::BalancerId first, base::BalancerId second) {
  return std::pair(WatchScore(first), first) >
         std::pair(WatchScore(second), second);
}

std::optional<base::TimePoint> Earliest(std::optional<base::TimePoint> first,
                                        std::optional<base::TimePoint> second) {
  if (first && second)
    return std::min(*first, *second);
  return first ? first : second;
}

}  // namespace

ConfigurationFollower::ConfigurationFollower(base::BalancerId self,
                                             FollowerPolicy policy,
                                             base::Random random,
                                             base::TimePoint now)
    : m_self(self),
      m_policy(policy),
      m_random(random),
      m_back_off(policy.m_initial_back_off, policy.m_maximum_back_off),
      m_watchers{self},
      m_ask_not_before(now),
      m_probe_not_before(now) {
  m_stale_jitter = Jitter(m_policy.m_poll_interval / 2);
}

base::ConfigurationVersion ConfigurationFollower::HighestKnownVersion() const {
  return std::max(SettledVersion(), m_peers.HighestVersion());
}

base::ConfigurationVersion ConfigurationFollower::SettledVersion() const {
  return std::max(m_in_force.m_version, m_refused);
}

std::optional<base::TimePoint> ConfigurationFollower::NextDeadline() const {
  return Earliest(Earliest(NextAskTime(), NextPullTime()), NextProbeTime());
}

bool ConfigurationFollower::IsWatcher() const {
  return std::find(m_watchers.begin(), m_watchers.end(), m_self) !=
         m_watchers.end();
}

std::optional<base::TimePoint> ConfigurationFollower::NextAskTime() const {
  if (m_ask)
    return std::nullopt;
  if (IsWatcher() || !m_quiet_since)
    return m_ask_not_before;
  return std::max(m_ask_not_before,
                  *m_quiet_since + m_policy.m_stale_after + m_stale_jitter);
}

std::optional<base::TimePoint> ConfigurationFollower::NextPullTime() const {
  if (m_pull)
    return m_pull->m_deadline;
  return m_peers.NextPullTime(SettledVersion());
}

std::optional<base::TimePoint> ConfigurationFollower::NextProbeTime() const {
  if (IsWatcher() || !m_quiet_since)
    return std::nullopt;
  return std::max(m_probe_not_before, *m_quiet_since + m_policy.m_probe_after);
}

std::vector<base::BalancerId> ConfigurationFollower::ChooseWatchers(
    std::vector<base::BalancerId> peers) const {
  std::erase(peers, m_self);
  peers.push_back(m_self);
  const std::size_t count = std::min(m_policy.m_watchers, peers.size());
  std::partial_sort(peers.begin(),
                    peers.begin() + static_cast<std::ptrdiff_t>(count),
                    peers.end(), PrecedesInWatchOrder);
  peers.resize(count);
  return peers;
}

FollowerEffects ConfigurationFollower::Handle(const FollowerEvent& event,
                                              base::TimePoint now) {
  std::visit(
      base::Overloaded{
          [&](const LivePeersChanged& change) { OnLivePeers(change); },
          [&](const PeerDigest& digest) { OnDigest(digest, now); },
          [&](const VersionConfirmed& confirmation) {
            OnConfirmed(confirmation, now);
          },
          [&](const PeerDocument& document) { OnPeerDocument(document, now); },
          [&](const PeerPullFailed& failure) {
            OnPullFailed(failure.m_peer, now);
          },
          [&](const PlatformDocument& document) {
            OnPlatformDocument(document, now);
          },
          [&](const PlatformUnchanged& answer) {
            OnUnchanged(answer.m_ask, now);
          },
          [&](const DocumentRefused& refusal) { OnRefused(refusal, now); },
          [&](const PlatformFailed& failure) {
            OnPlatformFailed(failure.m_ask, now);
          },
          [](const TimerFired&) {},
      },
      event);
  m_peers.Expire(now);
  PullIfDue(now);
  ProbeIfDue(now);
  AskIfDue(now);
  return std::exchange(m_effects, {});
}

void ConfigurationFollower::OnLivePeers(const LivePeersChanged& event) {
  m_watchers = ChooseWatchers(event.m_peers);
  if (IsWatcher() || !m_ask || !m_ask->m_is_watch)
    return;
  m_effects.emplace_back(CancelAsk{m_ask->m_id});
  m_ask.reset();
}

void ConfigurationFollower::OnDigest(const PeerDigest& digest,
                                     base::TimePoint now) {
  if (digest.m_peer == m_self)
    return;
  m_peers.Learn(digest, now);
  Confirm(m_peers.ConfirmedAt(m_in_force.m_version));
}

void ConfigurationFollower::OnConfirmed(const VersionConfirmed& confirmation,
                                        base::TimePoint now) {
  if (confirmation.m_version == m_in_force.m_version)
    Confirm(std::min(confirmation.m_confirmed_at, now));
}

void ConfigurationFollower::OnPeerDocument(const PeerDocument& document,
                                           base::TimePoint now) {
  if (m_pull && m_pull->m_peer == document.m_peer)
    m_pull.reset();
  if (document.m_version > SettledVersion()) {
    Adopt(document.m_version, document.m_body, now);
    return;
  }
  m_peers.Defer(document.m_peer, now + m_policy.m_pull_retry);
}

void ConfigurationFollower::OnPullFailed(base::BalancerId peer,
                                         base::TimePoint now) {
  if (!m_pull || m_pull->m_peer != peer)
    return;
  m_pull.reset();
  m_peers.Defer(peer, now + m_policy.m_pull_retry);
}

void ConfigurationFollower::OnPlatformDocument(const PlatformDocument& document,
                                               base::TimePoint now) {
  const auto ask = TakeAsk(document.m_ask);
  const bool is_newer = document.m_version > SettledVersion();
  if (is_newer)
    Adopt(document.m_version, document.m_body, now);
  if (!ask)
    return;
  if (document.m_version == m_in_force.m_version)
    Confirm(ask->m_asked_at);
  if (document.m_version > ask->m_newer_than)
    ScheduleAfterSuccess(*ask, now);
  else
    ScheduleAfterFailure(now);
}

void ConfigurationFollower::OnUnchanged(AskId id, base::TimePoint now) {
  const auto ask = TakeAsk(id);
  if (!ask)
    return;
  if (ask->m_newer_than == m_in_force.m_version)
    Confirm(ask->m_asked_at);
  ScheduleAfterSuccess(*ask, now);
}

void ConfigurationFollower::OnRefused(const DocumentRefused& refusal,
                                      base::TimePoint now) {
  m_refused = std::max(m_refused, refusal.m_version);
  if (refusal.m_version != m_in_force.m_version)
    return;
  m_in_force = std::exchange(m_former, {});
  m_quiet_since = now;
}

void ConfigurationFollower::OnPlatformFailed(AskId id, base::TimePoint now) {
  if (TakeAsk(id))
    ScheduleAfterFailure(now);
}

std::optional<ConfigurationFollower::Ask> ConfigurationFollower::TakeAsk(
    AskId id) {
  if (!m_ask || m_ask->m_id != id)
    return std::nullopt;
  return std::exchange(m_ask, std::nullopt);
}

void ConfigurationFollower::ScheduleAfterSuccess(const Ask& ask,
                                                 base::TimePoint now) {
  m_back_off.Reset();
  m_stale_jitter = Jitter(m_policy.m_poll_interval / 2);
  const base::Duration spacing =
      ask.m_is_watch ? m_policy.m_minimum_spacing : m_policy.m_poll_interval;
  m_ask_not_before = std::max(now, ask.m_asked_at + spacing);
}

void ConfigurationFollower::ScheduleAfterFailure(base::TimePoint now) {
  m_ask_not_before = now + m_back_off.Next(m_random);
}

void ConfigurationFollower::Adopt(base::ConfigurationVersion version,
                                  DocumentBody body,
                                  base::TimePoint now) {
  m_former = std::exchange(m_in_force, {version, m_peers.ConfirmedAt(version)});
  m_quiet_since = now;
  m_effects.emplace_back(AdoptDocument{version, std::move(body)});
}

void ConfigurationFollower::Confirm(std::optional<base::TimePoint> time) {
  m_in_force.m_confirmed_at = std::max(m_in_force.m_confirmed_at, time);
  m_quiet_since = std::max(m_quiet_since, m_in_force.m_confirmed_at);
}

void ConfigurationFollower::AskIfDue(base::TimePoint now) {
  const auto time = NextAskTime();
  if (!time || *time > now)
    return;
  const bool is_watch = IsWatcher();
  const base::Duration wait =
      is_watch ? m_policy.m_watch_wait : base::Duration::zero();
  m_ask = Ask{AskId(m_next_ask_id++), SettledVersion(), now, is_watch};
  m_effects.emplace_back(AskPlatform{m_ask->m_id, m_ask->m_newer_than, wait});
}

void ConfigurationFollower::PullIfDue(base::TimePoint now) {
  if (m_pull && m_pull->m_deadline <= now)
    OnPullFailed(m_pull->m_peer, now);
  if (m_pull)
    return;
  const auto source = m_peers.PickSource(SettledVersion(), now, m_random);
  if (!source)
    return;
  m_pull = Pull{source->m_peer, now + m_policy.m_pull_timeout};
  m_effects.emplace_back(*source);
}

void ConfigurationFollower::ProbeIfDue(base::TimePoint now) {
  const auto time = NextProbeTime();
  if (!time || *time > now || m_watchers.empty())
    return;
  m_probe_not_before = now + m_policy.m_probe_interval;
  m_effects.emplace_back(
      ProbePeer{m_watchers[m_random.Below(m_watchers.size())]});
}

base::Duration ConfigurationFollower::Jitter(base::Duration maximum) {
  return base::Duration(
      m_random.Below(static_cast<std::uint64_t>(maximum.count()) + 1));
}

}  // namespace platform
