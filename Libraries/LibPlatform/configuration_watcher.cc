#include "LibPlatform/configuration_watcher.h"

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"
#include "LibBase/overloaded.h"

namespace platform {

namespace {

// The key of the rendezvous hashing that selects the platform watchers (Thaler
// and Ravishankar, 1998).
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

ConfigurationWatcher::ConfigurationWatcher(base::BalancerId self,
                                           WatcherPolicy policy,
                                           base::Random random,
                                           base::TimePoint now)
    : m_self(self),
      m_policy(policy),
      m_random(random),
      m_back_off(policy.m_initial_back_off, policy.m_maximum_back_off),
      m_platform_watchers{self},
      m_read_not_before(now),
      m_digest_request_not_before(now) {
  m_stale_jitter = Jitter(m_policy.m_poll_interval / 2);
}

base::ConfigurationVersion ConfigurationWatcher::HighestKnownVersion() const {
  return std::max(HighestProcessedVersion(), m_peers.HighestVersion());
}

base::ConfigurationVersion ConfigurationWatcher::HighestProcessedVersion()
    const {
  return std::max(m_in_force.m_version, m_refused);
}

std::optional<base::TimePoint> ConfigurationWatcher::NextDeadline() const {
  return Earliest(Earliest(NextReadTime(), NextPullTime()),
                  NextDigestRequestTime());
}

bool ConfigurationWatcher::WatchesPlatform() const {
  return std::find(m_platform_watchers.begin(), m_platform_watchers.end(),
                   m_self) != m_platform_watchers.end();
}

std::optional<base::TimePoint> ConfigurationWatcher::NextReadTime() const {
  if (m_read)
    return std::nullopt;
  if (WatchesPlatform() || !m_staleness_starts_at)
    return m_read_not_before;
  return std::max(
      m_read_not_before,
      *m_staleness_starts_at + m_policy.m_stale_after + m_stale_jitter);
}

std::optional<base::TimePoint> ConfigurationWatcher::NextPullTime() const {
  if (m_pull)
    return m_pull->m_deadline;
  return m_peers.NextPullTime(HighestProcessedVersion());
}

std::optional<base::TimePoint> ConfigurationWatcher::NextDigestRequestTime()
    const {
  if (WatchesPlatform() || !m_staleness_starts_at)
    return std::nullopt;
  return std::max(m_digest_request_not_before,
                  *m_staleness_starts_at + m_policy.m_digest_request_after);
}

std::vector<base::BalancerId> ConfigurationWatcher::ChoosePlatformWatchers(
    std::vector<base::BalancerId> peers) const {
  std::erase(peers, m_self);
  peers.push_back(m_self);
  const std::size_t count =
      std::min(m_policy.m_platform_watchers, peers.size());
  std::partial_sort(peers.begin(),
                    peers.begin() + static_cast<std::ptrdiff_t>(count),
                    peers.end(), PrecedesInWatchOrder);
  peers.resize(count);
  return peers;
}

WatcherEffects ConfigurationWatcher::Handle(const WatcherEvent& event,
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
          [&](const PlatformUnchanged& unchanged) {
            OnUnchanged(unchanged.m_read, now);
          },
          [&](const DocumentRefused& refusal) { OnRefused(refusal, now); },
          [&](const PlatformFailed& failure) {
            OnPlatformFailed(failure.m_read, now);
          },
          [](const TimerFired&) {},
      },
      event);
  m_peers.Expire(now);
  PullIfDue(now);
  RequestDigestIfDue(now);
  ReadIfDue(now);
  return std::exchange(m_effects, {});
}

void ConfigurationWatcher::OnLivePeers(const LivePeersChanged& event) {
  m_platform_watchers = ChoosePlatformWatchers(event.m_peers);
  if (WatchesPlatform() || !m_read || !m_read->m_is_watch)
    return;
  m_effects.emplace_back(CancelRead{m_read->m_id});
  m_read.reset();
}

void ConfigurationWatcher::OnDigest(const PeerDigest& digest,
                                    base::TimePoint now) {
  if (digest.m_peer == m_self)
    return;
  m_peers.RecordDigest(digest, now);
  RecordConfirmation(m_peers.ConfirmedAt(m_in_force.m_version));
}

void ConfigurationWatcher::OnConfirmed(const VersionConfirmed& confirmation,
                                       base::TimePoint now) {
  if (confirmation.m_version == m_in_force.m_version)
    RecordConfirmation(std::min(confirmation.m_confirmed_at, now));
}

void ConfigurationWatcher::OnPeerDocument(const PeerDocument& document,
                                          base::TimePoint now) {
  if (m_pull && m_pull->m_peer == document.m_peer)
    m_pull.reset();
  if (document.m_version > HighestProcessedVersion()) {
    Adopt(document.m_version, document.m_body, now);
    return;
  }
  m_peers.DeferPull(document.m_peer, now + m_policy.m_pull_retry);
}

void ConfigurationWatcher::OnPullFailed(base::BalancerId peer,
                                        base::TimePoint now) {
  if (!m_pull || m_pull->m_peer != peer)
    return;
  m_pull.reset();
  m_peers.DeferPull(peer, now + m_policy.m_pull_retry);
}

void ConfigurationWatcher::OnPlatformDocument(const PlatformDocument& document,
                                              base::TimePoint now) {
  const auto read = EndRead(document.m_read);
  const bool is_newer = document.m_version > HighestProcessedVersion();
  if (is_newer)
    Adopt(document.m_version, document.m_body, now);
  if (!read)
    return;
  if (document.m_version == m_in_force.m_version)
    RecordConfirmation(read->m_requested_at);
  if (document.m_version > read->m_newer_than)
    ScheduleAfterSuccess(*read, now);
  else
    ScheduleAfterFailure(now);
}

void ConfigurationWatcher::OnUnchanged(ReadId id, base::TimePoint now) {
  const auto read = EndRead(id);
  if (!read)
    return;
  if (read->m_newer_than == m_in_force.m_version)
    RecordConfirmation(read->m_requested_at);
  ScheduleAfterSuccess(*read, now);
}

void ConfigurationWatcher::OnRefused(const DocumentRefused& refusal,
                                     base::TimePoint now) {
  m_refused = std::max(m_refused, refusal.m_version);
  if (refusal.m_version != m_in_force.m_version)
    return;
  m_in_force = std::exchange(m_previous, {});
  m_staleness_starts_at = now;
}

void ConfigurationWatcher::OnPlatformFailed(ReadId id, base::TimePoint now) {
  if (EndRead(id))
    ScheduleAfterFailure(now);
}

std::optional<ConfigurationWatcher::Read> ConfigurationWatcher::EndRead(
    ReadId id) {
  if (!m_read || m_read->m_id != id)
    return std::nullopt;
  return std::exchange(m_read, std::nullopt);
}

void ConfigurationWatcher::ScheduleAfterSuccess(const Read& read,
                                                base::TimePoint now) {
  m_back_off.Reset();
  m_stale_jitter = Jitter(m_policy.m_poll_interval / 2);
  const base::Duration spacing =
      read.m_is_watch ? m_policy.m_minimum_spacing : m_policy.m_poll_interval;
  m_read_not_before = std::max(now, read.m_requested_at + spacing);
}

void ConfigurationWatcher::ScheduleAfterFailure(base::TimePoint now) {
  m_read_not_before = now + m_back_off.Next(m_random);
}

void ConfigurationWatcher::Adopt(base::ConfigurationVersion version,
                                 DocumentBody body,
                                 base::TimePoint now) {
  m_previous =
      std::exchange(m_in_force, {version, m_peers.ConfirmedAt(version)});
  m_staleness_starts_at = now;
  m_effects.emplace_back(AdoptDocument{version, std::move(body)});
}

void ConfigurationWatcher::RecordConfirmation(
    std::optional<base::TimePoint> time) {
  m_in_force.m_confirmed_at = std::max(m_in_force.m_confirmed_at, time);
  m_staleness_starts_at =
      std::max(m_staleness_starts_at, m_in_force.m_confirmed_at);
}

void ConfigurationWatcher::ReadIfDue(base::TimePoint now) {
  const auto time = NextReadTime();
  if (!time || *time > now)
    return;
  const bool is_watch = WatchesPlatform();
  const base::Duration wait =
      is_watch ? m_policy.m_watch_wait : base::Duration::zero();
  m_read =
      Read{ReadId(m_next_read_id++), HighestProcessedVersion(), now, is_watch};
  m_effects.emplace_back(
      ReadFromPlatform{m_read->m_id, m_read->m_newer_than, wait});
}

void ConfigurationWatcher::PullIfDue(base::TimePoint now) {
  if (m_pull && m_pull->m_deadline <= now)
    OnPullFailed(m_pull->m_peer, now);
  if (m_pull)
    return;
  const auto source =
      m_peers.PickPullSource(HighestProcessedVersion(), now, m_random);
  if (!source)
    return;
  m_pull = Pull{source->m_peer, now + m_policy.m_pull_timeout};
  m_effects.emplace_back(*source);
}

void ConfigurationWatcher::RequestDigestIfDue(base::TimePoint now) {
  const auto time = NextDigestRequestTime();
  if (!time || *time > now || m_platform_watchers.empty())
    return;
  m_digest_request_not_before = now + m_policy.m_digest_request_interval;
  m_effects.emplace_back(RequestDigest{
      m_platform_watchers[m_random.Below(m_platform_watchers.size())]});
}

base::Duration ConfigurationWatcher::Jitter(base::Duration maximum) {
  return base::Duration(
      m_random.Below(static_cast<std::uint64_t>(maximum.count()) + 1));
}

}  // namespace platform
