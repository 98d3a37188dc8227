// The queries and commands of Membership, and helpers that its event handlers
// share.

#include "LibMembership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "LibMembership/record_size.h"
#include "LibMembership/vm_entry.h"

namespace membership {

namespace {

using peer::MemberState;

constexpr std::size_t kMaximumPiggybackedUpdates = 6;
// A balancer without peers regards its view as complete this long after its
// start.
constexpr base::Duration kJoinTimeout = std::chrono::seconds(2);
// Each update is piggybacked this often for each binary digit of the number of
// members, which grows with the logarithm of that number (SWIM, section 4.1).
constexpr std::size_t kTransmitFactor = 2;
// Up to 2^3 - 1 members the suspicion timeout is the configured one; the
// timeout grows with each further doubling.
constexpr int kSmallMembershipDoublings = 2;

bool IsLive(MemberState state) {
  return state == MemberState::kServing || state == MemberState::kSuspected;
}

}  // namespace

Membership::Membership(const Settings& settings,
                       peer::MemberRecord self,
                       base::TimePoint now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_snapshot(std::make_shared<const MemberSnapshot>()),
      m_view_changed_at(now),
      m_started_at(now),
      m_push_tokens_bytes(static_cast<double>(settings.m_push_burst_bytes)),
      m_last_advance(now),
      m_next_probe(now),
      m_next_contact(now),
      m_next_remote_contact(now),
      m_next_dead_removal(now) {
  m_self.m_state = MemberState::kJoining;
  m_self.m_configuration.m_confirmation_age.reset();
}

const std::vector<SnapshotMember>& Membership::LiveMembers() const {
  return m_snapshot->Members();
}

RankedMembers Membership::RankMembers(std::uint64_t flow_hash,
                                      std::size_t count) const {
  return m_snapshot->Rank(flow_hash, count);
}

bool Membership::IsExpected(const MemberEntry& entry) const {
  if (!entry.m_has_served || entry.m_has_left)
    return false;
  if (entry.m_record.m_state != MemberState::kDead || !m_listed_vms)
    return true;
  const auto listed = m_listed_vms->find(entry.m_record.m_peer);
  return listed != m_listed_vms->end() && listed->second == VmState::kLive;
}

bool Membership::IsIsolated(base::TimePoint now, base::Duration bound) const {
  const bool was_acked =
      m_acked_ping_sent_at && now - *m_acked_ping_sent_at <= bound;
  if (was_acked)
    return false;
  const auto& entries = m_table.Entries();
  return std::any_of(entries.begin(), entries.end(),
                     [&](const auto& item) { return IsExpected(item.second); });
}

PeerAckTimes Membership::LatestAckTimes() const {
  PeerAckTimes ack_times{.m_from_lease_holder = m_lease_holder_ping_sent_at};
  for (const auto& [id, entry] : m_table.Entries()) {
    if (!IsExpected(entry))
      continue;
    // An absent time compares less than any other.
    const auto& acked_ping_sent_at = entry.m_acked_ping_sent_at;
    ack_times.m_from_all_peers =
        ack_times.m_has_expected_peers
            ? std::min(ack_times.m_from_all_peers, acked_ping_sent_at)
            : acked_ping_sent_at;
    ack_times.m_has_expected_peers = true;
  }
  return ack_times;
}

std::optional<std::chrono::milliseconds> Membership::ConfirmationAge(
    base::TimePoint now) const {
  if (!m_confirmed_at)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(now - *m_confirmed_at);
}

NewestConfiguration Membership::NewestKnownConfiguration(
    base::TimePoint now) const {
  return {m_newest_version, m_newest_source, ConfirmationAge(now)};
}

base::Duration Membership::TimeSinceAdvance(base::TimePoint now) const {
  return now - m_last_advance;
}

bool Membership::HasCompleteView(base::TimePoint now) const {
  const bool has_no_peers =
      m_table.Reachable().empty() && now - m_started_at >= kJoinTimeout;
  return has_no_peers || m_view_sync.HasFinished();
}

void Membership::Serve() {
  if (m_self.m_state == MemberState::kJoining)
    DeclareState(MemberState::kServing);
}

void Membership::Leave() {
  if (m_self.m_state != MemberState::kLeaving)
    DeclareState(MemberState::kLeaving);
}

void Membership::DeclareState(peer::MemberState state) {
  m_self.m_state = state;
  ++m_self.m_incarnation;
  m_must_announce = true;
  m_is_snapshot_stale = true;
  m_updates.Add(m_self.m_id);
}

void Membership::SetConfiguration(base::ConfigurationVersion version,
                                  std::optional<base::TimePoint> confirmed_at) {
  base::ConfigurationVersion& in_force = m_self.m_configuration.m_version;
  if (version < in_force)
    return;
  if (version > in_force) {
    in_force = version;
    m_confirmed_at = confirmed_at;
    m_lease_holder_ping_sent_at.reset();
    // Every message carries the version in the sender's status. A pushed
    // message reports the version sooner.
    m_unpushed_updates.push_back(m_self.m_id);
    return;
  }
  m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
}

Effects Membership::ReceiveVmList(const std::vector<VmEntry>& list,
                                  base::TimePoint) {
  m_listed_vms.emplace();
  m_listed_live_endpoints.clear();
  for (const VmEntry& entry : list) {
    const bool is_own = entry.m_data_centre == m_self.m_data_centre;
    if (!is_own || entry.m_peer == m_self.m_peer)
      continue;
    m_listed_vms->emplace(entry.m_peer, entry.m_state);
    if (entry.m_state == VmState::kLive)
      m_listed_live_endpoints.push_back(entry.m_peer);
  }
  m_remote_peers.Replace(list, m_self.m_data_centre);
  return CollectEffects();
}

std::size_t Membership::TransmitLimit() const {
  return kTransmitFactor * std::bit_width(m_table.Reachable().size() + 1);
}

base::Duration Membership::SuspicionTimeout() const {
  const std::size_t members = m_table.Reachable().size() + 1;
  const auto doublings = static_cast<int>(std::bit_width(members)) - 1;
  return m_settings.m_suspicion_timeout *
         std::max(doublings, kSmallMembershipDoublings) /
         kSmallMembershipDoublings;
}

void Membership::QueueUpdate(base::BalancerId id) {
  m_updates.Add(id);
  m_unpushed_updates.push_back(id);
}

std::optional<peer::MemberRecord> Membership::FindRecord(
    base::BalancerId id) const {
  if (id == m_self.m_id)
    return m_self;
  const MemberEntry* entry = m_table.Find(id);
  if (!entry)
    return std::nullopt;
  return entry->m_record;
}

void Membership::Send(base::Endpoint to,
                      peer::MessageBody body,
                      Records records,
                      base::TimePoint now) {
  const std::uint32_t view_digest =
      m_table.Digest() ^ MemberTable::DigestOf(m_self);
  const peer::ConfigurationStatus configuration{
      m_self.m_configuration.m_version, ConfirmationAge(now)};
  // The effect is built in place to avoid moving the variants in the message.
  auto& effect = m_effects.emplace_back().emplace<SendMessage>();
  effect.m_to = to;
  effect.m_message.m_sender = {m_self.m_id,          m_self.m_state,
                               m_self.m_incarnation, configuration,
                               view_digest,          HoldsLease(now)};
  effect.m_message.m_body = std::move(body);
  effect.m_message.m_updates = std::move(records);
}

void Membership::AddPendingUpdates(Records& records) {
  for (const base::BalancerId id : m_updates.Next(kMaximumPiggybackedUpdates)) {
    const auto is_about_id = [&](const auto& record) {
      return record.m_id == id;
    };
    if (std::any_of(records.begin(), records.end(), is_about_id))
      continue;
    auto record = FindRecord(id);
    if (!record) {
      m_updates.CountSent(id, 0);
      continue;
    }
    if (!IsRoomFor(*record, records))
      return;
    records.push_back(*std::move(record));
    m_updates.CountSent(id, TransmitLimit());
  }
}

void Membership::ApplyRecord(const peer::MemberRecord& record,
                             base::TimePoint now,
                             UpdateSource source) {
  const std::uint32_t digest = m_table.Digest();
  const RecordChange change = m_table.Apply(record, now);
  if (m_table.Digest() != digest)
    m_view_changed_at = now;
  switch (change) {
    case RecordChange::kNone:
      return;
    case RecordChange::kAdded:
      m_effects.push_back(MemberAdded{record});
      break;
    case RecordChange::kChanged:
      m_effects.push_back(MemberChanged{record});
      break;
    case RecordChange::kRemoved:
      m_effects.push_back(MemberRemoved{record});
      break;
  }
  m_is_snapshot_stale = true;
  if (source == UpdateSource::kMembersPage)
    return;
  m_view_sync.CountChange();
  QueueUpdate(record.m_id);
}

void Membership::RefreshSnapshot() {
  if (!m_is_snapshot_stale)
    return;
  m_is_snapshot_stale = false;
  std::vector<SnapshotMember> live;
  if (m_self.m_state == MemberState::kServing)
    live.push_back({m_self.m_id, m_self.m_traffic});
  for (const base::BalancerId id : m_table.Reachable()) {
    const peer::MemberRecord& record = m_table.Find(id)->m_record;
    if (IsLive(record.m_state))
      live.push_back({id, record.m_traffic});
  }
  MemberSnapshot snapshot(std::move(live));
  if (snapshot == *m_snapshot)
    return;
  m_snapshot = std::make_shared<const MemberSnapshot>(std::move(snapshot));
  m_effects.push_back(LiveMembersChanged{m_snapshot});
}

Effects Membership::CollectEffects() {
  RefreshSnapshot();
  return std::exchange(m_effects, {});
}

}  // namespace membership
