// The timed actions of Membership.

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"
#include "LibMembership/membership.h"
#include "LibMembership/record_size.h"

namespace membership {

namespace {

using peer::MemberState;

// A process that was paused for longer could not read the Acks in time, so its
// pending probes are discarded: a missing Ack does not show that a member
// failed.
constexpr base::Duration kMaximumProbePause = std::chrono::milliseconds(100);
// How long a ping of an endpoint waits for its Ack.
constexpr base::Duration kContactLifetime = std::chrono::seconds(1);
constexpr base::Duration kRemoveDeadPeriod = std::chrono::seconds(10);
// Endpoints that a balancer without peers contacts in each contact period; a
// balancer with peers contacts one.
constexpr std::size_t kContactsWithoutPeers = 3;
constexpr std::size_t kMaximumEndpointChecks = 32;
// Maximum number of pings whose Ack is outstanding.
constexpr std::size_t kMaximumPings = 512;
// The mean number of members that ping a suspected member in each period.
constexpr double kSuspectPingers = 8;
constexpr std::size_t kDelegatesPerDataCentre = 2;
// Deducted from the push budget for a message besides its records.
constexpr double kPushedMessageBytes = 80;
// PickMembers draws random members at most this often for each wanted member.
constexpr int kPickAttemptsPerMember = 4;

}  // namespace

Effects Membership::Advance(base::TimePoint now, base::Random& random) {
  DetectPause(now);
  CheckPings(now, random);
  CheckSuspects(now, random);
  ProbeNext(now, random);
  ContactMissing(now, random);
  ContactRemote(now, random);
  RequestMembersPage(now);
  Announce(now, random);
  PushUpdates(now, random);
  RemoveDead(now);
  m_last_advance = now;
  return CollectEffects();
}

void Membership::DetectPause(base::TimePoint now) {
  const base::Duration gap = now - m_last_advance;
  const double refill = std::chrono::duration<double>(gap).count() *
                        static_cast<double>(m_settings.m_push_bytes_per_second);
  m_push_tokens_bytes =
      std::min(m_push_tokens_bytes + refill,
               static_cast<double>(m_settings.m_push_burst_bytes));
  if (gap <= kMaximumProbePause)
    return;
  std::erase_if(m_pings, [](const auto& item) {
    return std::holds_alternative<PendingPing::Probe>(item.second.m_purpose);
  });
  m_table.RestartSuspicions(now);
  if (gap < m_settings.m_pause_threshold)
    return;
  m_view_sync.MarkOutdated();
  m_effects.push_back(PauseDetected{gap});
}

void Membership::CheckPings(base::TimePoint now, base::Random& random) {
  std::vector<std::uint32_t> due;
  for (const auto& [sequence, ping] : m_pings) {
    if (ping.m_deadline <= now)
      due.push_back(sequence);
  }
  for (const std::uint32_t sequence : due) {
    PendingPing& ping = m_pings.at(sequence);
    const auto* probe = std::get_if<PendingPing::Probe>(&ping.m_purpose);
    if (probe && !probe->m_is_repeated) {
      RepeatProbe(sequence, ping, probe->m_target, now, random);
      continue;
    }
    if (probe)
      Suspect(probe->m_target, now);
    m_pings.erase(sequence);
  }
}

void Membership::RepeatProbe(std::uint32_t sequence,
                             PendingPing& ping,
                             base::BalancerId target,
                             base::TimePoint now,
                             base::Random& random) {
  ping.m_purpose = PendingPing::Probe{target, true};
  ping.m_deadline = ping.m_sent_at + m_settings.m_probe_timeout;
  Send(ping.m_endpoint, peer::Ping{sequence, false}, {}, now);
  for (const auto helper : PickMembers(m_settings.m_indirect_probes, random)) {
    if (helper == target)
      continue;
    Send(m_table.Find(helper)->m_record.m_peer,
         peer::PingRequest{sequence, ping.m_endpoint}, {}, now);
  }
}

void Membership::Suspect(base::BalancerId id, base::TimePoint now) {
  const MemberEntry* entry = m_table.Find(id);
  if (!entry)
    return;
  if (entry->m_record.m_state != MemberState::kServing) {
    m_table.SuspectLocally(id, now);
    return;
  }
  peer::MemberRecord record = entry->m_record;
  record.m_state = MemberState::kSuspected;
  ApplyRecord(record, now);
}

void Membership::CheckSuspects(base::TimePoint now, base::Random& random) {
  const std::vector<base::BalancerId> suspects(m_table.Suspects().begin(),
                                               m_table.Suspects().end());
  const double chance =
      kSuspectPingers / static_cast<double>(m_table.Reachable().size() + 1);
  for (const base::BalancerId id : suspects) {
    const MemberEntry& entry = *m_table.Find(id);
    if (now - *entry.m_suspected_since >= SuspicionTimeout()) {
      peer::MemberRecord dead = entry.m_record;
      dead.m_state = MemberState::kDead;
      ApplyRecord(dead, now);
      continue;
    }
    if (now < entry.m_next_suspect_ping)
      continue;
    m_table.SetNextSuspectPing(id, now + m_settings.m_suspect_ping_period);
    if (random.Unit() >= chance)
      continue;
    const base::Endpoint endpoint = entry.m_record.m_peer;
    SendPing(endpoint,
             {PendingPing::Contact{}, endpoint, now, now + kContactLifetime},
             {entry.m_record}, now);
  }
}

void Membership::ProbeNext(base::TimePoint now, base::Random& random) {
  if (now < m_next_probe || m_table.Reachable().empty())
    return;
  m_next_probe = std::max(m_next_probe + m_settings.m_probe_period,
                          now + m_settings.m_probe_period / 2);
  // Members are probed in round-robin order; the order is shuffled after each
  // round (SWIM, section 4.3). This bounds the time until a member is probed.
  const MemberEntry* target = nullptr;
  while (!target || target->m_record.m_state == MemberState::kDead) {
    if (m_probe_order.empty()) {
      m_probe_order = m_table.Reachable();
      for (std::size_t at = m_probe_order.size(); at > 1; --at)
        std::swap(m_probe_order[at - 1], m_probe_order[random.Below(at)]);
    }
    target = m_table.Find(m_probe_order.back());
    m_probe_order.pop_back();
  }
  Records records;
  AddPendingUpdates(records);
  const base::Endpoint endpoint = target->m_record.m_peer;
  SendPing(endpoint,
           {PendingPing::Probe{target->m_record.m_id}, endpoint, now,
            now + m_settings.m_direct_timeout},
           std::move(records), now);
}

void Membership::SendPing(base::Endpoint to,
                          const PendingPing& pending,
                          Records records,
                          base::TimePoint now) {
  const auto* contact = std::get_if<PendingPing::Contact>(&pending.m_purpose);
  const bool wants_record = contact && contact->m_wants_record;
  if (m_pings.size() >= kMaximumPings)
    return;
  const std::uint32_t sequence = ++m_last_sequence;
  m_pings.emplace(sequence, pending);
  Send(to, peer::Ping{sequence, wants_record}, std::move(records), now);
}

void Membership::Ping(base::BalancerId id, base::TimePoint now) {
  const MemberEntry* entry = m_table.Find(id);
  if (!entry)
    return;
  const base::Endpoint endpoint = entry->m_record.m_peer;
  SendPing(endpoint,
           {PendingPing::Contact{}, endpoint, now, now + kContactLifetime}, {},
           now);
}

// Returns endpoints at which a balancer should run but no member is known. Of a
// long VM list, each call checks only kMaximumEndpointChecks entries from a
// random start. Every member does so, so each missing balancer is found.
std::vector<base::Endpoint> Membership::MissingEndpoints(
    base::Random& random) const {
  std::vector<base::Endpoint> missing;
  const auto add_if_missing = [&](base::Endpoint endpoint) {
    if (!m_table.FindAt(endpoint))
      missing.push_back(endpoint);
  };
  if (m_listed_vms) {
    const std::size_t checks =
        std::min(m_listed_live_endpoints.size(), kMaximumEndpointChecks);
    const std::size_t first = random.Below(m_listed_live_endpoints.size() + 1);
    for (std::size_t check = 0; check < checks; ++check)
      add_if_missing(m_listed_live_endpoints[(first + check) %
                                             m_listed_live_endpoints.size()]);
    return missing;
  }
  for (const auto& [id, entry] : m_table.Entries()) {
    const bool is_dead = entry.m_record.m_state == MemberState::kDead;
    if (is_dead && IsExpected(entry))
      add_if_missing(entry.m_record.m_peer);
  }
  return missing;
}

void Membership::ContactMissing(base::TimePoint now, base::Random& random) {
  if (now < m_next_contact)
    return;
  m_next_contact = now + m_settings.m_contact_period;
  std::vector<base::Endpoint> missing = MissingEndpoints(random);
  std::size_t contacts =
      m_table.Reachable().empty() ? kContactsWithoutPeers : 1;
  for (; contacts > 0 && !missing.empty(); --contacts) {
    std::swap(missing[random.Below(missing.size())], missing.back());
    const base::Endpoint endpoint = missing.back();
    missing.pop_back();
    // The records tell a member at this endpoint that this balancer regards the
    // member as dead, so that the member can refute its death.
    Records records{m_self};
    for (const auto& [id, entry] : m_table.Entries()) {
      const bool has_endpoint = entry.m_record.m_peer == endpoint;
      if (has_endpoint && IsExpected(entry) &&
          IsRoomFor(entry.m_record, records))
        records.push_back(entry.m_record);
    }
    SendPing(
        endpoint,
        {PendingPing::Contact{true}, endpoint, now, now + kContactLifetime},
        std::move(records), now);
  }
}

bool Membership::IsDelegateFor(const base::DataCentreId& data_centre) const {
  const auto delegates = RankMembers(base::HashString(data_centre.value()),
                                     kDelegatesPerDataCentre);
  return std::any_of(delegates.begin(), delegates.end(),
                     [&](const auto& one) { return one.m_id == m_self.m_id; });
}

bool Membership::NeedsRemoteVms() const {
  const auto data_centres = m_remote_peers.DataCentres();
  return data_centres.empty() ||
         std::any_of(data_centres.begin(), data_centres.end(),
                     [this](const auto& each) { return IsDelegateFor(each); });
}

void Membership::ContactRemote(base::TimePoint now, base::Random& random) {
  if (now < m_next_remote_contact)
    return;
  m_next_remote_contact = now + m_settings.m_remote_period;
  for (const base::DataCentreId& data_centre : m_remote_peers.DataCentres()) {
    const auto endpoint = m_remote_peers.PickEndpoint(data_centre, random);
    if (!IsDelegateFor(data_centre) || !endpoint)
      continue;
    // Links between data centres are expensive, so records are exchanged at the
    // first contact only.
    const bool is_first = !m_remote_peers.HasRecordFor(*endpoint);
    SendPing(*endpoint,
             {PendingPing::Contact{is_first}, *endpoint, now,
              now + kContactLifetime},
             is_first ? Records{m_self} : Records{}, now);
  }
}

void Membership::RequestMembersPage(base::TimePoint now) {
  const auto request = m_view_sync.DueRequest(now);
  if (!request)
    return;
  m_view_sync.CountRequest(now);
  Send(request->m_to, peer::MembersRequest{request->m_after}, {}, now);
}

void Membership::Announce(base::TimePoint now, base::Random& random) {
  if (!m_must_announce)
    return;
  m_must_announce = false;
  const bool is_leaving = m_self.m_state == MemberState::kLeaving;
  const auto targets = PickMembers(m_settings.m_announcement_fanout, random);
  for (const base::BalancerId id : targets) {
    peer::MessageBody body = peer::Heartbeat{};
    if (is_leaving)
      body = peer::Leave{};
    // An announcement is always sent, even if it overdraws the budget; pushed
    // updates wait for the budget.
    m_push_tokens_bytes -=
        kPushedMessageBytes + static_cast<double>(RecordBytes(m_self));
    Send(m_table.Find(id)->m_record.m_peer, std::move(body), {m_self}, now);
  }
}

void Membership::PushUpdates(base::TimePoint now, base::Random& random) {
  if (m_unpushed_updates.empty())
    return;
  Records records;
  for (const base::BalancerId id : std::exchange(m_unpushed_updates, {})) {
    const auto record = FindRecord(id);
    if (record && IsRoomFor(*record, records))
      records.push_back(*record);
  }
  const double message_bytes =
      kPushedMessageBytes + static_cast<double>(RecordBytes(records));
  for (const auto id : PickMembers(m_settings.m_push_fanout, random)) {
    if (m_push_tokens_bytes < message_bytes)
      return;
    m_push_tokens_bytes -= message_bytes;
    Send(m_table.Find(id)->m_record.m_peer, peer::Heartbeat{}, records, now);
  }
}

void Membership::RemoveDead(base::TimePoint now) {
  if (now < m_next_dead_removal)
    return;
  m_next_dead_removal = now + kRemoveDeadPeriod;
  std::vector<base::BalancerId> old;
  for (const auto& [id, entry] : m_table.Entries()) {
    const bool is_dead = entry.m_record.m_state == MemberState::kDead;
    const bool is_old =
        now - entry.m_changed_at >= m_settings.m_tombstone_lifetime;
    // IsIsolated counts expected peers, so their entries are kept.
    if (is_dead && is_old && !IsExpected(entry))
      old.push_back(id);
  }
  for (const base::BalancerId id : old)
    m_table.Remove(id);
}

std::vector<base::BalancerId> Membership::PickMembers(
    std::size_t count,
    base::Random& random) const {
  const auto& members = m_table.Reachable();
  if (members.size() <= count)
    return members;
  std::vector<base::BalancerId> picked;
  for (std::size_t attempt = 0;
       picked.size() < count && attempt < count * kPickAttemptsPerMember;
       ++attempt) {
    const base::BalancerId id = members[random.Below(members.size())];
    if (std::find(picked.begin(), picked.end(), id) == picked.end())
      picked.push_back(id);
  }
  return picked;
}

}  // namespace membership
