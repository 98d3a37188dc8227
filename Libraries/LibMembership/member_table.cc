#include "LibMembership/member_table.h"

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"
#include "LibPeer/sender_status.h"

namespace membership {

namespace {

using peer::MemberState;

int Severity(MemberState state) {
  if (state == MemberState::kDead)
    return 2;
  return state == MemberState::kSuspected ? 1 : 0;
}

bool TakesPrecedence(const peer::MemberRecord& update,
                     const peer::MemberRecord& known) {
  if (update.m_incarnation != known.m_incarnation)
    return update.m_incarnation > known.m_incarnation;
  return Severity(update.m_state) > Severity(known.m_state);
}

bool IsDead(const MemberEntry& entry) {
  return entry.m_record.m_state == MemberState::kDead;
}

}  // namespace

const MemberEntry* MemberTable::Find(base::BalancerId id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

const MemberEntry* MemberTable::FindAt(base::Endpoint peer) const {
  const auto found = m_by_endpoint.find(peer);
  return found == m_by_endpoint.end() ? nullptr : Find(found->second);
}

std::uint32_t MemberTable::DigestOf(const peer::MemberRecord& record) {
  const std::uint64_t version = base::CombineHashes(
      record.m_incarnation, static_cast<std::uint64_t>(record.m_state));
  return static_cast<std::uint32_t>(
      base::CombineHashes(record.m_id.value(), version));
}

RecordChange MemberTable::Apply(const peer::MemberRecord& record,
                                base::TimePoint now) {
  const auto found = m_entries.find(record.m_id);
  const bool is_known = found != m_entries.end();
  if (is_known && !TakesPrecedence(record, found->second.m_record))
    return RecordChange::kNone;
  if (!is_known && m_entries.size() >= kMaximumEntries)
    return RecordChange::kNone;

  MemberEntry& entry = is_known ? found->second : m_entries[record.m_id];
  const bool was_reachable = is_known && !IsDead(entry);
  if (was_reachable)
    Unindex(entry);
  const auto configuration = std::max(entry.m_record.m_configuration.m_version,
                                      record.m_configuration.m_version);
  entry.m_record = record;
  entry.m_record.m_configuration = {configuration, std::nullopt};
  entry.m_changed_at = now;
  entry.m_has_served |= record.m_state == MemberState::kServing ||
                        record.m_state == MemberState::kSuspected;
  entry.m_has_left = record.m_state == MemberState::kLeaving ||
                     (entry.m_has_left && IsDead(entry));
  SetSuspicion(entry, now);
  if (IsDead(entry))
    return was_reachable ? RecordChange::kRemoved : RecordChange::kNone;
  Index(entry);
  return was_reachable ? RecordChange::kChanged : RecordChange::kAdded;
}

void MemberTable::SetSuspicion(MemberEntry& entry, base::TimePoint now) {
  const base::BalancerId id = entry.m_record.m_id;
  if (entry.m_record.m_state != MemberState::kSuspected) {
    entry.m_suspected_since.reset();
    m_suspects.erase(id);
    return;
  }
  entry.m_suspected_since = now;
  entry.m_next_suspect_ping = now;
  m_suspects.insert(id);
}

void MemberTable::RecordMessage(const peer::SenderStatus& sender,
                                base::TimePoint now) {
  const auto found = m_entries.find(sender.m_id);
  if (found == m_entries.end())
    return;
  MemberEntry& entry = found->second;
  entry.m_last_message_at = now;
  entry.m_holds_lease = sender.m_holds_lease;
  entry.m_record.m_configuration.m_version =
      std::max(entry.m_record.m_configuration.m_version,
               sender.m_configuration.m_version);
  if (!entry.m_suspected_since)
    return;
  if (entry.m_record.m_state == MemberState::kSuspected) {
    entry.m_suspected_since = now;
    return;
  }
  entry.m_suspected_since.reset();
  m_suspects.erase(sender.m_id);
}

void MemberTable::RecordAck(base::BalancerId id, base::TimePoint sent_at) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end())
    return;
  auto& latest = found->second.m_acked_ping_sent_at;
  latest = std::max(latest, std::optional(sent_at));
}

void MemberTable::SuspectLocally(base::BalancerId id, base::TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || IsDead(found->second) ||
      found->second.m_suspected_since) {
    return;
  }
  found->second.m_suspected_since = now;
  found->second.m_next_suspect_ping = now;
  m_suspects.insert(id);
}

void MemberTable::SetNextSuspectPing(base::BalancerId id,
                                     base::TimePoint when) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end())
    found->second.m_next_suspect_ping = when;
}

void MemberTable::RestartSuspicions(base::TimePoint now) {
  for (const base::BalancerId id : m_suspects)
    m_entries[id].m_suspected_since = now;
}

void MemberTable::MarkLeft(base::BalancerId id) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end())
    found->second.m_has_left = true;
}

void MemberTable::Remove(base::BalancerId id) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end() && IsDead(found->second))
    m_entries.erase(found);
}

void MemberTable::Index(const MemberEntry& entry) {
  m_by_endpoint[entry.m_record.m_peer] = entry.m_record.m_id;
  m_reachable.push_back(entry.m_record.m_id);
  m_digest ^= DigestOf(entry.m_record);
}

void MemberTable::Unindex(const MemberEntry& entry) {
  const base::BalancerId id = entry.m_record.m_id;
  const auto at = m_by_endpoint.find(entry.m_record.m_peer);
  if (at != m_by_endpoint.end() && at->second == id)
    m_by_endpoint.erase(at);
  const auto place = std::find(m_reachable.begin(), m_reachable.end(), id);
  *place = m_reachable.back();
  m_reachable.pop_back();
  m_digest ^= DigestOf(entry.m_record);
}

}  // namespace membership
