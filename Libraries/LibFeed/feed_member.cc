#include "LibFeed/feed_member.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace feed {

namespace {

// A peer that was asked to read counts as a reader for this long without a
// sign of it.
constexpr base::Duration kAcceptanceTime = std::chrono::seconds(1);

// Returns a number from 0 to 1 for a balancer, such that those of consecutive
// addresses are evenly spaced (Fibonacci hashing).
double ShareOf(base::Ipv4Address address) {
  constexpr std::uint32_t kGoldenRatio = 0x9E3779B9;
  constexpr double kRange = 4294967296.0;
  return static_cast<double>(address.value() * kGoldenRatio) / kRange;
}

}  // namespace

FeedMember::FeedMember(FeedSettings settings,
                       std::uint64_t seed,
                       base::TimePoint now)
    : m_settings(std::move(settings)),
      m_random(seed),
      m_started_at(now),
      m_read_from(now + m_settings.m_start_patience),
      m_next_poll_at(now),
      m_next_announcement_at(now) {
  // Different balancers ask different seeds first.
  m_seed_turn = m_random.Below(m_settings.m_seeds.size() + 1);
}

bool FeedMember::IsManifestLost(const StoreStatus& own,
                                base::TimePoint now) const {
  return m_lost_manifest &&
         m_lost_manifest->m_version > own.m_manifest_version &&
         now - m_lost_manifest->m_heard_at < ReaderRegistry::kReaderLifetime;
}

base::TimePoint FeedMember::NextAdvanceAt(const StoreStatus& own) const {
  base::TimePoint next = base::TimePoint::max();
  if (!own.m_is_current || !m_is_reader)
    next = m_next_poll_at;
  if (m_is_reader)
    next = std::min(next, m_next_announcement_at);
  else if (m_read_from > m_advanced_at)
    next = std::min(next, m_read_from);
  for (const PendingPoll& poll : m_pending)
    next = std::min(next, poll.m_sent_at + m_settings.m_response_timeout);
  return next;
}

std::vector<FeedPoll> FeedMember::Advance(const StoreStatus& own,
                                          base::TimePoint now) {
  m_advanced_at = now;
  RemoveTimedOutPolls(now);
  m_registry.RemoveExpired(now);
  UpdateRole(own, now);
  std::vector<FeedPoll> polls;
  const bool needs_feed = !m_is_reader || !own.m_is_current;
  if (needs_feed && now >= m_next_poll_at) {
    m_next_poll_at = now + PollInterval(own, now);
    if (const auto peer = NextPeer(now))
      polls.push_back(MakeFeedPoll(*peer, own, now));
  }
  if (m_is_reader && now >= m_next_announcement_at) {
    m_next_announcement_at = now + kAnnouncementInterval;
    for (const base::Ipv4Address seed : m_settings.m_seeds)
      polls.push_back(MakePoll(seed, own, now));
  }
  return polls;
}

std::optional<FeedResponse> FeedMember::HandleRequest(
    base::Ipv4Address source,
    const FeedRequest& request,
    const StoreStatus& own,
    base::TimePoint now) {
  if (!IsOfPeer(source, request))
    return std::nullopt;
  if (request.m_is_reader)
    m_registry.Record({source, request.m_data_centre, request.m_is_current, {}},
                      now);
  else
    m_registry.Remove(source);
  // The store that was read at this balancer's revision does not have the
  // manifest, although the peer read it no later.
  if (request.m_manifest_version > own.m_manifest_version &&
      request.m_manifest <= own.m_manifest)
    m_lost_manifest = LostManifest{request.m_manifest_version, now};

  FeedResponse response;
  response.m_fleet = m_settings.m_fleet;
  response.m_number = request.m_number;
  response.m_data_centre = m_settings.m_data_centre;
  response.m_is_reader = m_is_reader;
  response.m_status = own;
  response.m_readers = ReadersFor(request.m_data_centre, source, now);
  const bool is_own_reader =
      m_is_reader && request.m_data_centre == m_settings.m_data_centre;
  const std::size_t readers =
      m_registry.ReadersOf(request.m_data_centre, now).size() +
      (is_own_reader ? 1 : 0);
  response.m_should_read = m_settings.m_is_seed && !request.m_is_reader &&
                           readers < m_settings.m_readers_per_data_centre;
  if (response.m_should_read)
    m_registry.Record({source, request.m_data_centre, false,
                       ReaderRegistry::kReaderLifetime - kAcceptanceTime},
                      now);
  return response;
}

ResponseVerdict FeedMember::HandleResponse(base::Ipv4Address source,
                                           const FeedResponse& response,
                                           const StoreStatus& own,
                                           base::TimePoint now) {
  const auto poll = std::find_if(m_pending.begin(), m_pending.end(),
                                 [&](const PendingPoll& pending) {
                                   return pending.m_peer == source &&
                                          pending.m_number == response.m_number;
                                 });
  if (poll == m_pending.end() || response.m_fleet != m_settings.m_fleet)
    return ResponseVerdict::kUnsolicited;
  m_answered_poll_at = poll->m_sent_at;
  m_pending.erase(poll);
  m_failures.erase(source.value());
  RecordReaders(response, source, now);
  if (response.m_should_read && !m_is_reader)
    StartReading(RoleReason::kAsked);
  if (!response.m_is_reader || !response.m_status.m_is_current) {
    if (response.m_is_reader && own.HasView())
      OnReaderNotCurrent(now);
    return ResponseVerdict::kNotCurrent;
  }
  const StoreStatus& peer = response.m_status;
  // The reader's settings lack the bound on evacuations. Without another reader
  // this balancer has to read the store itself.
  if (own.m_needs_evacuations && peer.m_evacuations == catalog::Revision())
    return ResponseVerdict::kBehind;
  // A balancer that does not need the evacuations leaves them out.
  const catalog::Revision evacuations =
      own.m_needs_evacuations ? peer.m_evacuations : own.m_evacuations;
  const bool has_news = peer.m_servers > own.m_servers ||
                        peer.m_manifest > own.m_manifest ||
                        evacuations > own.m_evacuations ||
                        peer.m_manifest_version > own.m_manifest_version;
  const bool is_behind = peer.m_servers < own.m_servers ||
                         peer.m_manifest < own.m_manifest ||
                         evacuations < own.m_evacuations;
  if (!has_news && is_behind) {
    // The store has moved on from what a reader of a former era watches.
    const bool is_of_former_era =
        peer.m_servers.era() < own.m_servers.era() ||
        peer.m_manifest.era() < own.m_manifest.era() ||
        evacuations.era() < own.m_evacuations.era();
    if (!is_of_former_era)
      RecordBehind(now);
    return ResponseVerdict::kBehind;
  }
  if (!has_news) {
    RecordFed(now);
    return ResponseVerdict::kNothingNew;
  }
  if (!response.m_delta.empty())
    return ResponseVerdict::kHasChanges;
  const base::Duration waited =
      std::min(now - m_started_at,
               own.m_list_progress_age.value_or(base::Duration::max()));
  const bool is_listing = !own.HasView() && ShouldReadStore(now) &&
                          !own.m_is_failing && waited < kOwnListTime;
  return is_listing ? ResponseVerdict::kListing
                    : ResponseVerdict::kFetchChanges;
}

bool FeedMember::RequestPoll(std::optional<base::TimePoint> needed_as_of,
                             base::TimePoint now) {
  m_needed_as_of = std::max(m_needed_as_of, needed_as_of);
  if (m_poll_requested_at &&
      now - *m_poll_requested_at < kRequestedPollInterval)
    return false;
  m_poll_requested_at = now;
  m_next_poll_at = std::min(m_next_poll_at, now);
  return true;
}

void FeedMember::OnPaused(base::TimePoint now) {
  m_fed_at.reset();
  m_pending.clear();
  m_read_from = now;
  m_next_poll_at = now;
  m_next_announcement_at = now;
}

void FeedMember::RecordFed(base::TimePoint now) {
  m_fed_at = now;
  m_read_from = now + m_settings.m_fed_for;
  m_is_read_scheduled = false;
  m_behind_since.reset();
}

void FeedMember::RecordBehind(base::TimePoint now) {
  const auto behind_since = m_behind_since.value_or(now);
  if (now - behind_since < kMaximumBehindTime)
    RecordFed(now);
  m_behind_since = behind_since;
}

// The reader is alive, so it is the store that does not respond to it. The
// store may respond to others.
void FeedMember::OnReaderNotCurrent(base::TimePoint now) {
  if (HasCurrentReader(now)) {
    m_next_poll_at = now;
    return;
  }
  if (m_is_read_scheduled || ShouldReadStore(now))
    return;
  m_is_read_scheduled = true;
  m_read_from =
      now + std::chrono::duration_cast<base::Duration>(
                m_settings.m_outage_spread * ShareOf(m_settings.m_self));
}

void FeedMember::RemoveTimedOutPolls(base::TimePoint now) {
  std::erase_if(m_pending, [&](const PendingPoll& poll) {
    if (now - poll.m_sent_at < m_settings.m_response_timeout)
      return false;
    // The next peer is asked at once.
    m_next_poll_at = std::min(m_next_poll_at, now);
    Failures& failures = m_failures[poll.m_peer.value()];
    failures.m_last_at = now;
    if (++failures.m_count >= kMaximumFailures)
      m_registry.Remove(poll.m_peer);
    return true;
  });
  std::erase_if(m_failures, [now](const auto& entry) {
    return now - entry.second.m_last_at >= ReaderRegistry::kReaderLifetime;
  });
}

void FeedMember::UpdateRole(const StoreStatus& own, base::TimePoint now) {
  if (own.HasView() && !m_had_view) {
    m_had_view = true;
    const bool has_peers = !m_settings.m_seeds.empty();
    m_read_from = has_peers ? now + m_settings.m_fed_for : now;
  }
  if (!m_is_reader) {
    if (m_had_view && own.m_is_current && now >= m_read_from)
      StartReading(RoleReason::kNotFed);
    return;
  }
  const auto others = OtherCurrentReaders(now);
  if (!own.m_is_current) {
    m_surplus_since.reset();
    if (others.size() >= m_settings.m_readers_per_data_centre)
      StopReading(RoleReason::kRelieved, now);
    return;
  }
  const std::uint64_t own_rank =
      ReaderRank(m_settings.m_data_centre, m_settings.m_self);
  const auto preferred = static_cast<std::size_t>(std::count_if(
      others.begin(), others.end(), [own_rank](const ReaderEntry& other) {
        return ReaderRank(other.m_data_centre, other.m_address) < own_rank;
      }));
  if (preferred < m_settings.m_readers_per_data_centre) {
    m_surplus_since.reset();
    return;
  }
  if (!m_surplus_since)
    m_surplus_since = now;
  if (now - *m_surplus_since >= kSurplusTime)
    StopReading(RoleReason::kSurplus, now);
}

void FeedMember::StartReading(RoleReason reason) {
  m_is_reader = true;
  m_role_reason = reason;
  m_surplus_since.reset();
  // The seeds learn of the reader at once.
  m_next_announcement_at = base::TimePoint::min();
}

void FeedMember::StopReading(RoleReason reason, base::TimePoint now) {
  m_is_reader = false;
  m_role_reason = reason;
  m_surplus_since.reset();
  m_read_from = now + m_settings.m_fed_for;
  m_next_poll_at = now;
}

std::vector<ReaderEntry> FeedMember::OtherCurrentReaders(
    base::TimePoint now) const {
  auto readers = m_registry.ReadersOf(m_settings.m_data_centre, now);
  std::erase_if(readers, [this](const ReaderEntry& entry) {
    return !entry.m_is_current || entry.m_address == m_settings.m_self;
  });
  return readers;
}

bool FeedMember::HasCurrentReader(base::TimePoint now) const {
  const auto is_current = [](const ReaderEntry& entry) {
    return entry.m_is_current;
  };
  return !OtherCurrentReaders(now).empty() ||
         std::ranges::any_of(
             m_registry.ReadersOutside(m_settings.m_data_centre, now),
             is_current);
}

std::optional<base::Ipv4Address> FeedMember::NextPeer(base::TimePoint now) {
  const std::size_t turn = m_turn++;
  // A balancer that is not fed also asks the seeds, which may know other
  // readers.
  const bool asks_seed = !IsFed(now) && turn % 2 == 1;
  if (!asks_seed) {
    const auto readers = ReadersToPoll(now);
    if (!readers.empty())
      return readers[turn % readers.size()];
  }
  return NextSeed();
}

std::vector<base::Ipv4Address> FeedMember::ReadersToPoll(
    base::TimePoint now) const {
  std::vector<base::Ipv4Address> polled;
  for (const ReaderEntry& reader : OtherCurrentReaders(now)) {
    if (polled.size() < kPolledReaders)
      polled.push_back(reader.m_address);
  }
  auto outside = m_registry.ReadersOutside(m_settings.m_data_centre, now);
  std::erase_if(outside,
                [](const ReaderEntry& entry) { return !entry.m_is_current; });
  // The balancers of a data centre spread over the readers elsewhere.
  for (std::size_t i = 0; i < outside.size() && polled.size() < kPolledReaders;
       ++i)
    polled.push_back(
        outside[(m_settings.m_self.value() + i) % outside.size()].m_address);
  if (!polled.empty())
    return polled;
  for (const ReaderEntry& reader :
       m_registry.ReadersOf(m_settings.m_data_centre, now)) {
    if (reader.m_address != m_settings.m_self)
      polled.push_back(reader.m_address);
  }
  return polled;
}

std::optional<base::Ipv4Address> FeedMember::NextSeed() {
  if (m_settings.m_seeds.empty())
    return std::nullopt;
  return m_settings.m_seeds[m_seed_turn++ % m_settings.m_seeds.size()];
}

base::Duration FeedMember::PollInterval(const StoreStatus& own,
                                        base::TimePoint now) {
  if (!own.HasView() && !ShouldReadStore(now))
    return kFirstViewPollInterval;
  if (!IsFed(now))
    return std::min(m_settings.m_response_timeout, m_settings.m_poll_interval);
  constexpr double kJitter = 0.2;
  return std::chrono::duration_cast<base::Duration>(
      m_settings.m_poll_interval * (1 - kJitter * m_random.Unit()));
}

FeedPoll FeedMember::MakePoll(base::Ipv4Address peer,
                              const StoreStatus& own,
                              base::TimePoint now) {
  FeedPoll poll;
  poll.m_peer = peer;
  poll.m_request.m_fleet = m_settings.m_fleet;
  poll.m_request.m_number = m_random.Next();
  poll.m_request.m_data_centre = m_settings.m_data_centre;
  poll.m_request.m_is_reader = m_is_reader;
  poll.m_request.m_is_current = own.m_is_current;
  poll.m_request.m_servers = own.m_servers;
  poll.m_request.m_manifest = own.m_manifest;
  poll.m_request.m_evacuations = own.m_evacuations;
  poll.m_request.m_manifest_version = own.m_manifest_version;
  m_pending.push_back({peer, poll.m_request.m_number, now});
  return poll;
}

FeedPoll FeedMember::MakeFeedPoll(base::Ipv4Address peer,
                                  const StoreStatus& own,
                                  base::TimePoint now) {
  FeedPoll poll = MakePoll(peer, own, now);
  // Rounded down, so that the response, whose age is rounded up, satisfies the
  // need.
  if (const auto needed = std::exchange(m_needed_as_of, std::nullopt))
    poll.m_request.m_needed_view_age =
        std::chrono::floor<std::chrono::milliseconds>(now - *needed);
  return poll;
}

std::vector<ReaderEntry> FeedMember::ReadersFor(
    const base::DataCentreId& data_centre,
    base::Ipv4Address requester,
    base::TimePoint now) const {
  auto readers = m_registry.ReadersOf(data_centre, now);
  const auto outside = m_registry.ReadersOutside(data_centre, now);
  std::copy_if(outside.begin(), outside.end(), std::back_inserter(readers),
               [](const ReaderEntry& entry) { return entry.m_is_current; });
  std::erase_if(readers, [requester](const ReaderEntry& entry) {
    return entry.m_address == requester;
  });
  readers.resize(std::min(readers.size(), FeedResponse::kMaximumReaders));
  return readers;
}

void FeedMember::RecordReaders(const FeedResponse& response,
                               base::Ipv4Address source,
                               base::TimePoint now) {
  for (const ReaderEntry& entry : response.m_readers) {
    const auto failures = m_failures.find(entry.m_address.value());
    const bool has_failed = failures != m_failures.end() &&
                            failures->second.m_count >= kMaximumFailures;
    if (entry.m_address != m_settings.m_self && !has_failed)
      m_registry.Record(entry, now);
  }
  if (response.m_is_reader)
    m_registry.Record(
        {source, response.m_data_centre, response.m_status.m_is_current, {}},
        now);
  else
    m_registry.Remove(source);
}

}  // namespace feed
