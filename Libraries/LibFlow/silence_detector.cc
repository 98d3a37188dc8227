#include "LibFlow/silence_detector.h"

#include <algorithm>

namespace flow {

namespace {

// Suspects found within this period share a request.
constexpr auto kRequestPeriod = std::chrono::seconds(1);
// A suspect for which no request could be sent for this long is dropped; the
// next repetition adds it again.
constexpr auto kSuspectLifetime = std::chrono::seconds(5);
// How long after the end of the watch a reply may arrive.
constexpr auto kReplyTimeout = std::chrono::seconds(1);
// A longer time between two calls of Advance counts as a pause of the process.
constexpr auto kMaximumAdvanceGap = std::chrono::seconds(1);
// Maximum number of consecutive watches of one stream.
constexpr std::uint32_t kMaximumWatches = 20;
// A payload that was seen this often is watched again, even if it was not seen
// during the last watch.
constexpr std::uint32_t kManyObservations = 6;

}  // namespace

SilenceDetector::SilenceDetector(const SilenceSettings& settings,
                                 base::TimePoint now)
    : m_settings(settings),
      m_retransmissions(now, settings.m_retransmission_slots),
      m_watches(settings.m_maximum_watched),
      m_budget(settings.m_bytes_per_second, settings.m_burst_bytes, now),
      m_next_request(now),
      m_last_advance(now) {}

void SilenceDetector::Observe(const StreamPacket& packet, base::TimePoint now) {
  m_watches.Observe(packet);
  if (packet.m_payload_bytes == 0 || packet.m_is_control)
    return;
  const base::Duration silent_for = m_retransmissions.Record(packet, now);
  if (silent_for >= m_settings.m_suspect_after)
    AddSuspect(packet, silent_for, now);
}

void SilenceDetector::AddSuspect(const StreamPacket& packet,
                                 base::Duration silent_for,
                                 base::TimePoint now) {
  // One request for a stream suffices, whichever balancer sends it.
  if (m_watches.IsWatched(packet) ||
      m_suspects.size() >= m_settings.m_maximum_suspects)
    return;
  const bool is_known = std::ranges::any_of(m_suspects, [&](const auto& other) {
    return other.m_packet.m_hash == packet.m_hash &&
           other.m_packet.m_sender == packet.m_sender;
  });
  if (is_known)
    return;
  ++m_suspicions;
  m_suspects.push_back({.m_packet = packet,
                        .m_silent_since = now - silent_for,
                        .m_suspected_at = now});
}

void SilenceDetector::HandleRequest(base::BalancerId from,
                                    const WatchRequest& request,
                                    base::TimePoint now) {
  if (request.m_streams.size() > kMaximumWatchedStreams)
    return;
  const WatchId id = NextId();
  if (m_watches.Add(id, request.m_streams))
    m_peer_watches.push_back({id, now, from, request.m_number});
}

void SilenceDetector::HandleReply(base::BalancerId from,
                                  const WatchReply& reply) {
  const auto own = m_own_watches.find(reply.m_number);
  if (own == m_own_watches.end() ||
      reply.m_reports.size() != own->second.m_suspects.size())
    return;
  own->second.m_replies.try_emplace(from, reply);
}

SilenceActions SilenceDetector::Advance(
    base::TimePoint now,
    std::span<const base::BalancerId> peers) {
  if (now - m_last_advance > kMaximumAdvanceGap)
    CancelWatches();
  m_last_advance = now;
  m_budget.Refill(now);
  SilenceActions actions;
  ReplyToPeers(now, actions);
  EvaluateOwnWatches(now, peers, actions);
  SendRequest(now, peers, actions);
  return actions;
}

void SilenceDetector::CancelWatches() {
  m_watches.Clear();
  m_suspects.clear();
  m_own_watches.clear();
  m_peer_watches.clear();
}

void SilenceDetector::ReplyToPeers(base::TimePoint now,
                                   SilenceActions& actions) {
  std::erase_if(m_peer_watches, [&](const PeerWatch& watch) {
    if (now - watch.m_started < m_settings.m_watch_duration)
      return false;
    WatchReply reply{watch.m_number, EndWatch(watch.m_id)};
    const std::size_t streams = reply.m_reports.size();
    if (m_budget.CanReply(streams)) {
      m_budget.SpendOnReply(streams);
      actions.m_replies.push_back({watch.m_requester, std::move(reply)});
    }
    return true;
  });
}

std::vector<StreamReport> SilenceDetector::EndWatch(WatchId id) {
  std::vector<StreamReport> reports;
  for (const WatchTable::Watched& watched : m_watches.Remove(id)) {
    reports.push_back(watched.m_report);
    reports.back().m_observations =
        m_retransmissions.TransmissionCount(watched.m_stream);
    reports.back().m_extent_bytes =
        m_retransmissions.ExtentOf(watched.m_stream);
  }
  return reports;
}

void SilenceDetector::EvaluateOwnWatches(
    base::TimePoint now,
    std::span<const base::BalancerId> peers,
    SilenceActions& actions) {
  std::erase_if(m_own_watches, [&](const auto& entry) {
    const OwnWatch& watch = entry.second;
    const base::Duration watched = now - watch.m_started;
    if (watched < m_settings.m_watch_duration)
      return false;
    if (watch.HasRepliesFromAll(watch.m_requested_peers) &&
        watch.HasRepliesFromAll(peers))
      EvaluateWatch(watch, now, actions);
    else if (watched < m_settings.m_watch_duration + kReplyTimeout)
      return false;
    else
      RepeatWatch(watch, now);
    return true;
  });
}

bool SilenceDetector::OwnWatch::HasRepliesFromAll(
    std::span<const base::BalancerId> peers) const {
  return std::ranges::all_of(peers, [this](base::BalancerId peer) {
    return m_replies.contains(peer);
  });
}

// Combines the reports of all balancers about one of the streams.
SilenceDetector::AggregatedReport SilenceDetector::AggregateReports(
    const OwnWatch& watch,
    const StreamReport& own,
    std::size_t stream) {
  AggregatedReport total{own.m_is_answered, own.m_repetitions,
                         own.m_observations, own.m_extent_bytes};
  for (const auto& [peer, reply] : watch.m_replies) {
    const StreamReport& report = reply.m_reports[stream];
    total.m_is_answered = total.m_is_answered || report.m_is_answered;
    total.m_repetitions += report.m_repetitions;
    total.m_observations += report.m_observations;
    total.m_extent_bytes =
        std::max<std::uint32_t>(total.m_extent_bytes, report.m_extent_bytes);
  }
  return total;
}

void SilenceDetector::EvaluateWatch(const OwnWatch& watch,
                                    base::TimePoint now,
                                    SilenceActions& actions) {
  const std::vector<StreamReport> own = EndWatch(watch.m_id);
  for (std::size_t i = 0; i < watch.m_suspects.size(); ++i) {
    const AggregatedReport total = AggregateReports(watch, own[i], i);
    if (total.m_is_answered)
      continue;
    Suspect suspect = watch.m_suspects[i];
    suspect.m_suspected_at = now;
    suspect.m_watched_repetitions += total.m_repetitions;
    ++suspect.m_watches;
    if (total.m_observations >= m_settings.m_repetitions &&
        suspect.m_watched_repetitions >= m_settings.m_watched_repetitions)
      actions.m_silent.push_back({suspect.m_packet, total.m_extent_bytes,
                                  now - suspect.m_silent_since});
    else if (IsWorthAnotherWatch(suspect, total))
      m_suspects.push_back(suspect);
  }
}

// Without all replies there is no decision. To wait for the next repetition
// that this balancer recognises would delay the detection by several timeouts
// of the sender.
void SilenceDetector::RepeatWatch(const OwnWatch& watch, base::TimePoint now) {
  const std::vector<StreamReport> own = EndWatch(watch.m_id);
  for (std::size_t i = 0; i < watch.m_suspects.size(); ++i) {
    const AggregatedReport total = AggregateReports(watch, own[i], i);
    Suspect suspect = watch.m_suspects[i];
    suspect.m_suspected_at = now;
    ++suspect.m_watches;
    if (!total.m_is_answered && IsWorthAnotherWatch(suspect, total))
      m_suspects.push_back(suspect);
  }
}

// An end that doubles its timeout without a limit may repeat a payload less
// often than once a watch.
bool SilenceDetector::IsWorthAnotherWatch(const Suspect& suspect,
                                          const AggregatedReport& total) const {
  if (suspect.m_watches >= kMaximumWatches ||
      m_suspects.size() >= m_settings.m_maximum_suspects)
    return false;
  return total.m_repetitions > 0 || total.m_observations >= kManyObservations;
}

void SilenceDetector::SendRequest(base::TimePoint now,
                                  std::span<const base::BalancerId> peers,
                                  SilenceActions& actions) {
  std::erase_if(m_suspects, [&](const Suspect& suspect) {
    return m_watches.IsWatched(suspect.m_packet) ||
           now - suspect.m_suspected_at > kSuspectLifetime;
  });
  if (m_suspects.empty() || now < m_next_request)
    return;
  const std::size_t wanted =
      std::min(m_suspects.size(), kMaximumWatchedStreams);
  const std::size_t count = m_budget.AffordableStreams(wanted, peers.size());
  if (count == 0)
    return;
  // The streams that have been silent for longest are requested first.
  std::ranges::stable_sort(m_suspects, {}, &Suspect::m_silent_since);
  const auto last = m_suspects.begin() + static_cast<std::ptrdiff_t>(count);
  OwnWatch watch{NextId(),
                 now,
                 {m_suspects.begin(), last},
                 {peers.begin(), peers.end()},
                 {}};
  WatchRequest request{++m_last_number, {}};
  for (const Suspect& suspect : watch.m_suspects)
    request.m_streams.push_back({suspect.m_packet.m_hash,
                                 suspect.m_packet.m_position,
                                 suspect.m_packet.m_sender});
  if (!m_watches.Add(watch.m_id, request.m_streams))
    return;
  m_suspects.erase(m_suspects.begin(), last);
  m_budget.SpendOnRequest(count, peers.size());
  m_next_request = now + kRequestPeriod;
  m_own_watches.emplace(request.m_number, std::move(watch));
  actions.m_request = std::move(request);
}

}  // namespace flow
