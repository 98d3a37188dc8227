#include "LibSteering/flow_tracker.h"

#include <algorithm>

namespace steering {

namespace {

// Whether `next` is greater than `previous` in serial number arithmetic
// (RFC 1982).
bool IsAfter(std::uint32_t next, std::uint32_t previous) {
  return static_cast<std::int32_t>(next - previous) > 0;
}

}  // namespace

FlowRecord* FlowTracker::Find(const flow::FlowKey& key) {
  const auto found = m_flows.find(key);
  return found == m_flows.end() ? nullptr : &found->second;
}

FlowRecord* FlowTracker::RecordOpening(const flow::FlowKey& key,
                                       KnownServer& server,
                                       base::Duration timeout,
                                       base::TimePoint now) {
  RemoveFlow(key);
  FlowRecord* record = Insert(key, server, now);
  if (record == nullptr)
    return nullptr;
  record->m_request_at = now;
  record->m_answerable_at = now;
  record->m_deadline = now + timeout;
  record->m_first_server = server.m_handle;
  SetInProgress(*record, true);
  return record;
}

Observation FlowTracker::RecordPacket(const CallerPacket& packet,
                                      KnownServer& server,
                                      base::Duration timeout,
                                      base::TimePoint now) {
  Observation observation{PacketKind::kNothingNew, now};
  FlowRecord* record = Find(packet.m_flow);
  if (record != nullptr) {
    observation.m_waiting_since = record->m_request_at;
  } else {
    // Packets that arrive after the end of a flow carry no data and must not
    // create a new record.
    if (packet.m_payload_bytes == 0)
      return observation;
    record = Insert(packet.m_flow, server, now);
    if (record == nullptr)
      return observation;
    // Another balancer handled the opening, so the first packet here does not
    // prove that the server answers.
    record->m_is_established = true;
    m_last_adoption_at = now;
  }
  if (packet.m_is_end || packet.m_is_reset) {
    // A caller may close its flow with the packet that acknowledges the answer.
    const auto acknowledged_before = record->m_acknowledged;
    if (record->m_is_established && RecordAcknowledgement(*record, packet))
      RecordSample(*record, true, acknowledged_before, observation, now);
    RemoveFlow(packet.m_flow);
    observation.m_packet_kind = PacketKind::kEnd;
    return observation;
  }
  Reassign(*record, server);
  record->m_last_seen = now;
  SetActive(*record, true);
  const bool was_established = record->m_is_established;
  const auto acknowledged_before = record->m_acknowledged;
  const bool has_answer = RecordAcknowledgement(*record, packet);
  const bool has_new_data = RecordData(*record, packet);
  if (has_answer) {
    RecordSample(*record, was_established, acknowledged_before, observation,
                 now);
    RecordAnswer(*record, server, now);
  }
  if (has_new_data)
    StartRequest(*record, timeout, now);
  // The caller repeats a part of a long request that the server has not
  // acknowledged, so the server can't answer yet.
  else if (packet.m_payload_bytes > 0 && record->m_is_long_request)
    record->m_answerable_at = now;
  observation.m_packet_kind = KindOf(packet, has_answer, has_new_data);
  return observation;
}

PacketKind FlowTracker::KindOf(const CallerPacket& packet,
                               bool has_answer,
                               bool has_new_data) {
  if (has_answer)
    return PacketKind::kAnswer;
  if (has_new_data)
    return PacketKind::kRequest;
  return packet.m_payload_bytes > 0 ? PacketKind::kRetransmission
                                    : PacketKind::kNothingNew;
}

bool FlowTracker::RecordAcknowledgement(FlowRecord& record,
                                        const CallerPacket& packet) {
  if (!packet.m_has_acknowledgement)
    return false;
  const bool was_established = record.m_is_established;
  record.m_is_established = true;
  record.m_resend_at.reset();
  const bool is_newer =
      !record.m_acknowledged ||
      IsAfter(packet.m_acknowledgement, *record.m_acknowledged);
  const bool has_baseline = record.m_acknowledged.has_value();
  if (is_newer)
    record.m_acknowledged = packet.m_acknowledgement;
  return !was_established || (has_baseline && is_newer);
}

bool FlowTracker::RecordData(FlowRecord& record, const CallerPacket& packet) {
  const std::uint32_t end = packet.m_sequence + packet.m_payload_bytes;
  const bool is_new = packet.m_payload_bytes > 0 &&
                      (!record.m_sent_end || IsAfter(end, *record.m_sent_end));
  if (is_new)
    record.m_sent_end = end;
  return is_new;
}

void FlowTracker::RecordSample(const FlowRecord& record,
                               bool was_established,
                               std::optional<std::uint32_t> acknowledged_before,
                               Observation& observation,
                               base::TimePoint now) {
  if (!record.m_is_request_in_progress && !record.m_is_overdue)
    return;
  const base::Duration time = now - record.m_answerable_at;
  if (!was_established) {
    observation.m_opening_time = now - record.m_first_seen;
    // The time of an opening that was placed again is that of the last server.
    if (record.m_resends == 0)
      observation.m_handshake_time = time;
    return;
  }
  if (acknowledged_before && record.m_acknowledged)
    observation.m_answer = admission::AnswerSample{
        time, *record.m_acknowledged - *acknowledged_before};
}

void FlowTracker::RecordAnswer(FlowRecord& record,
                               KnownServer& server,
                               base::TimePoint now) {
  if (record.m_is_overdue)
    server.m_answer_statistics.RecordLateAnswer(now);
  if (record.m_is_request_in_progress) {
    server.m_answer_statistics.RecordAnswer(now);
    m_mean_answer_time += std::chrono::duration_cast<base::Duration>(
        kAnswerTimeGain * (now - record.m_answerable_at - m_mean_answer_time));
  }
  record.m_is_overdue = false;
  SetInProgress(record, false);
}

base::Duration FlowTracker::OverdueAfter() const {
  return std::max(kMinimumOverdueTime, kOverdueFactor * m_mean_answer_time);
}

bool FlowTracker::CountsAgainstServer(const FlowRecord& record) const {
  return record.m_is_established &&
         (!m_last_adoption_at || *m_last_adoption_at < record.m_request_at);
}

void FlowTracker::StartRequest(FlowRecord& record,
                               base::Duration timeout,
                               base::TimePoint now) {
  // A request of several packets starts with its first packet, and can be
  // answered after its last.
  record.m_is_long_request = record.m_is_request_in_progress;
  record.m_answerable_at = now;
  if (!record.m_is_request_in_progress) {
    record.m_request_at = now;
    record.m_deadline = now + timeout;
  }
  SetInProgress(record, true);
}

void FlowTracker::Reassign(FlowRecord& record, KnownServer& server) {
  if (record.m_server == server.m_handle)
    return;
  const bool was_active = record.m_is_active;
  const bool was_in_progress = record.m_is_request_in_progress;
  SetActive(record, false);
  SetInProgress(record, false);
  record.m_server = server.m_handle;
  SetActive(record, was_active);
  SetInProgress(record, was_in_progress);
}

void FlowTracker::RemoveFlow(const flow::FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end())
    return;
  SetActive(found->second, false);
  SetInProgress(found->second, false);
  m_flows.erase(found);
}

std::vector<OverdueRequest> FlowTracker::Sweep(base::Duration idle_timeout,
                                               base::TimePoint now) {
  std::vector<OverdueRequest> overdue;
  const base::Duration overdue_after = OverdueAfter();
  for (auto entry = m_flows.begin(); entry != m_flows.end();) {
    FlowRecord& record = entry->second;
    const base::Duration waited = now - record.m_answerable_at;
    if (record.m_is_request_in_progress &&
        (waited >= overdue_after || now >= record.m_deadline)) {
      SetInProgress(record, false);
      if (CountsAgainstServer(record)) {
        record.m_is_overdue = true;
        overdue.push_back({entry->first, record.m_server, waited});
        if (KnownServer* server = m_directory.FindByHandle(record.m_server))
          server->m_answer_statistics.RecordUnanswered(now);
      }
    }
    const base::Duration idle = now - record.m_last_seen;
    if (idle >= kInactiveAfter)
      SetActive(record, false);
    if (idle < idle_timeout) {
      ++entry;
      continue;
    }
    SetActive(record, false);
    SetInProgress(record, false);
    entry = m_flows.erase(entry);
  }
  return overdue;
}

FlowRecord* FlowTracker::Insert(const flow::FlowKey& key,
                                KnownServer& server,
                                base::TimePoint now) {
  if (m_flows.size() >= kMaximumFlows)
    return nullptr;
  FlowRecord& record = m_flows[key];
  record.m_server = server.m_handle;
  record.m_first_seen = now;
  record.m_last_seen = now;
  SetActive(record, true);
  return &record;
}

void FlowTracker::SetActive(FlowRecord& record, bool is_active) {
  if (record.m_is_active == is_active)
    return;
  record.m_is_active = is_active;
  KnownServer* server = m_directory.FindByHandle(record.m_server);
  if (server != nullptr)
    server->m_flows += is_active ? 1 : -1;
}

void FlowTracker::SetInProgress(FlowRecord& record, bool is_in_progress) {
  if (record.m_is_request_in_progress == is_in_progress)
    return;
  record.m_is_request_in_progress = is_in_progress;
  KnownServer* server = m_directory.FindByHandle(record.m_server);
  if (server == nullptr)
    return;
  server->m_requests_in_progress += is_in_progress ? 1 : -1;
  ServerDirectory::UpdateIndex(*server);
}

}  // namespace steering
