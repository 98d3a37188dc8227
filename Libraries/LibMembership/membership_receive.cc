// How Membership handles received messages.

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibMembership/membership.h"
#include "LibMembership/record_size.h"

namespace membership {

namespace {

using peer::MemberState;

// How long a ping that a received message causes waits for its Ack.
constexpr base::Duration kPingLifetime = std::chrono::seconds(1);
bool IsDeclaredState(MemberState state) {
  return state == MemberState::kJoining || state == MemberState::kServing ||
         state == MemberState::kLeaving;
}

}  // namespace

Effects Membership::ReceiveMessage(base::Endpoint from,
                                   const peer::Message& message,
                                   base::TimePoint now) {
  const peer::SenderStatus& sender = message.m_sender;
  if (sender.m_id == m_self.m_id || !IsDeclaredState(sender.m_state))
    return {};
  const bool is_page =
      std::holds_alternative<peer::MembersReply>(message.m_body);
  const UpdateSource source =
      is_page ? UpdateSource::kMembersPage : UpdateSource::kGossip;
  for (const peer::MemberRecord& record : message.m_updates)
    ReceiveUpdate(record, sender.m_id, source, now);
  ApplySenderStatus(from, sender, now);
  const base::Overloaded receive{
      [&](const peer::Ping& ping) { Receive(from, message, ping, now); },
      [&](const peer::Ack& ack) { Receive(from, message, ack, now); },
      [&](const peer::PingRequest& request) {
        Receive(from, message, request, now);
      },
      [&](const peer::MembersRequest& request) {
        Receive(from, message, request, now);
      },
      [&](const peer::MembersReply& reply) {
        Receive(from, message, reply, now);
      },
      // Of all other messages, Membership uses only the status and the updates.
      [](const auto&) {}};
  std::visit(receive, message.m_body);
  return CollectEffects();
}

void Membership::ReceiveUpdate(const peer::MemberRecord& record,
                               base::BalancerId sender,
                               UpdateSource source,
                               base::TimePoint now) {
  if (record.m_id == m_self.m_id) {
    RefuteRecord(record);
    return;
  }
  if (record.m_data_centre != m_self.m_data_centre) {
    m_remote_peers.AddPeer(record);
    return;
  }
  if (!ResolveEndpointConflict(record, sender, now))
    return;
  const MemberEntry* known = m_table.Find(record.m_id);
  const bool has_recent_message =
      known && known->m_last_message_at &&
      now - *known->m_last_message_at < SuspicionTimeout();
  if (record.m_state == MemberState::kDead && has_recent_message &&
      known->m_record.m_state == MemberState::kServing) {
    // A recent message of the member contradicts the report of its death. The
    // member is therefore only suspected and has time to refute.
    peer::MemberRecord suspected = record;
    suspected.m_state = MemberState::kSuspected;
    ApplyRecord(suspected, now);
    return;
  }
  ApplyRecord(record, now, source);
}

// Resolves a conflict between two runs of a balancer at one endpoint: the later
// run replaces the earlier one. Returns whether the record may be applied.
bool Membership::ResolveEndpointConflict(const peer::MemberRecord& record,
                                         base::BalancerId sender,
                                         base::TimePoint now) {
  if (record.m_state == MemberState::kDead)
    return true;
  // The record is about an earlier run of this balancer's VM.
  if (record.m_peer == m_self.m_peer)
    return false;
  const MemberEntry* current = m_table.FindAt(record.m_peer);
  if (!current || current->m_record.m_id == record.m_id)
    return true;
  const bool is_later = record.m_incarnation > current->m_record.m_incarnation;
  if (record.m_id != sender && !is_later)
    return false;
  peer::MemberRecord replaced = current->m_record;
  replaced.m_state = MemberState::kDead;
  ApplyRecord(replaced, now);
  m_table.MarkLeft(replaced.m_id);
  return true;
}

void Membership::RefuteRecord(const peer::MemberRecord& record) {
  const bool is_suspicion = !IsDeclaredState(record.m_state) &&
                            record.m_incarnation >= m_self.m_incarnation;
  if (!is_suspicion && record.m_incarnation <= m_self.m_incarnation)
    return;
  m_self.m_incarnation = record.m_incarnation;
  DeclareState(m_self.m_state);
}

void Membership::ApplySenderStatus(base::Endpoint from,
                                   const peer::SenderStatus& sender,
                                   base::TimePoint now) {
  UpdateNewestConfiguration(from, sender);
  if (m_remote_peers.Contains(sender.m_id))
    return;
  const MemberEntry* known = m_table.Find(sender.m_id);
  if (!known) {
    RequestRecord(from, now);
    return;
  }
  m_table.RecordMessage(sender, now);
  if (sender.m_incarnation <= known->m_record.m_incarnation)
    return;
  peer::MemberRecord record = known->m_record;
  record.m_state = sender.m_state;
  record.m_incarnation = sender.m_incarnation;
  if (ResolveEndpointConflict(record, sender.m_id, now))
    ApplyRecord(record, now);
}

void Membership::RequestRecord(base::Endpoint from, base::TimePoint now) {
  const auto is_pinged = [&](const auto& item) {
    return item.second.m_endpoint == from;
  };
  if (std::any_of(m_pings.begin(), m_pings.end(), is_pinged))
    return;
  SendPing(from, {PendingPing::Contact{true}, from, now, now + kPingLifetime},
           {m_self}, now);
}

// With address translation, the source endpoint of a message is not the one at
// which the sender accepts requests. For a member, that endpoint is in its
// record. For a balancer of another data centre, only an endpoint that was
// pinged and acknowledged the ping is known to accept requests.
void Membership::UpdateNewestConfiguration(base::Endpoint from,
                                           const peer::SenderStatus& sender) {
  const base::ConfigurationVersion version = sender.m_configuration.m_version;
  if (version < m_newest_version)
    return;
  const MemberEntry* member = m_table.Find(sender.m_id);
  const bool is_better =
      member != nullptr ||
      (m_remote_peers.HasRecordFor(from) && !HasReachableSource());
  if (version == m_newest_version && !is_better)
    return;
  m_newest_version = version;
  m_newest_source = member != nullptr ? member->m_record.m_peer : from;
}

bool Membership::HasReachableSource() const {
  return m_newest_source && (m_table.FindAt(*m_newest_source) != nullptr ||
                             m_remote_peers.HasRecordFor(*m_newest_source));
}

// Returns the sender's record if this balancer regards the sender as suspected
// or dead, so that the sender can refute the record.
Membership::Records Membership::RecordsToRefute(
    const peer::SenderStatus& sender) const {
  const MemberEntry* known = m_table.Find(sender.m_id);
  if (!known || IsDeclaredState(known->m_record.m_state))
    return {};
  return {known->m_record};
}

void Membership::Receive(base::Endpoint from,
                         const peer::Message& message,
                         const peer::Ping& ping,
                         base::TimePoint now) {
  Records records = RecordsToRefute(message.m_sender);
  if (ping.m_wants_record)
    records.push_back(m_self);
  if (m_table.Find(message.m_sender.m_id))
    AddPendingUpdates(records);
  Send(from, peer::Ack{ping.m_sequence}, std::move(records), now);
}

void Membership::Receive(base::Endpoint from,
                         const peer::Message& message,
                         const peer::Ack& ack,
                         base::TimePoint now) {
  const auto found = m_pings.find(ack.m_sequence);
  if (found == m_pings.end())
    return;
  const PendingPing ping = found->second;
  m_pings.erase(found);
  ApplyAck(message.m_sender, ping.m_sent_at);
  if (const auto* indirect =
          std::get_if<PendingPing::IndirectProbe>(&ping.m_purpose)) {
    Records records;
    if (const auto target = FindRecord(message.m_sender.m_id))
      records.push_back(*target);
    Send(indirect->m_requester, peer::Ack{indirect->m_requester_sequence},
         std::move(records), now);
  }
  const std::uint32_t own_digest =
      m_table.Digest() ^ MemberTable::DigestOf(m_self);
  const bool is_member = m_table.FindAt(from) != nullptr;
  if (!is_member)
    return;
  if (message.m_sender.m_view_digest == own_digest)
    m_view_sync.ObserveEquality();
  else
    m_view_sync.ObserveDifference(from, m_view_changed_at, now);
}

// An Ack is newer than its ping, however long the Ack waited in a queue, so the
// time of the ping bounds the age of the Ack. The age of other messages is not
// bounded, so they confirm nothing.
void Membership::ApplyAck(const peer::SenderStatus& sender,
                          base::TimePoint sent_at) {
  const peer::ConfigurationStatus& status = sender.m_configuration;
  const bool has_same_version =
      status.m_version == m_self.m_configuration.m_version &&
      status.m_version != base::ConfigurationVersion();
  if (m_table.Find(sender.m_id)) {
    m_table.RecordAck(sender.m_id, sent_at);
    m_acked_ping_sent_at =
        std::max(m_acked_ping_sent_at, std::optional(sent_at));
    if (sender.m_holds_lease && has_same_version)
      m_lease_holder_ping_sent_at =
          std::max(m_lease_holder_ping_sent_at, std::optional(sent_at));
  }
  const bool is_confirmed = status.m_confirmation_age && has_same_version;
  if (is_confirmed)
    m_confirmed_at = std::max(
        m_confirmed_at, std::optional(sent_at - *status.m_confirmation_age));
}

void Membership::Receive(base::Endpoint from,
                         const peer::Message&,
                         const peer::PingRequest& request,
                         base::TimePoint now) {
  if (!m_table.FindAt(request.m_target))
    return;
  SendPing(request.m_target,
           {PendingPing::IndirectProbe{from, request.m_sequence},
            request.m_target, now, now + kPingLifetime},
           {}, now);
}

void Membership::Receive(base::Endpoint from,
                         const peer::Message&,
                         const peer::MembersRequest& request,
                         base::TimePoint now) {
  Records page;
  if (request.m_after == base::BalancerId())
    page.push_back(m_self);
  base::BalancerId last;
  const auto& entries = m_table.Entries();
  auto next = entries.upper_bound(request.m_after);
  for (; next != entries.end(); ++next) {
    const peer::MemberRecord& record = next->second.m_record;
    if (!IsRoomFor(record, page))
      break;
    if (record.m_state != MemberState::kDead)
      page.push_back(record);
    last = next->first;
  }
  const bool is_last = next == entries.end();
  Send(from, peer::MembersReply{is_last ? base::BalancerId() : last},
       std::move(page), now);
}

void Membership::Receive(base::Endpoint from,
                         const peer::Message&,
                         const peer::MembersReply& reply,
                         base::TimePoint now) {
  m_view_sync.Receive(from, reply, now);
}

}  // namespace membership
