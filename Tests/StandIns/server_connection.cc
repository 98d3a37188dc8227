#include "StandIns/server_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibBase/verify.h"

namespace stand_ins {

namespace {

// Limit on the answer bytes that are passed to TCP and not yet acknowledged.
constexpr std::size_t kSendBufferBytes = 131'072;
constexpr auto kShortestFeedInterval = std::chrono::milliseconds(1);

}  // namespace

ServerConnection::ServerConnection(TcpConnection tcp,
                                   base::Endpoint service_address)
    : m_tcp(std::move(tcp)), m_service_address(service_address) {}

std::optional<base::TimePoint> ServerConnection::NextDeadline() const {
  const auto tcp_deadline = m_tcp.NextDeadline();
  if (m_phase != Phase::kFeeding || m_tcp.IsClosed())
    return tcp_deadline;
  return std::min(tcp_deadline.value_or(m_next_event), m_next_event);
}

void ServerConnection::Receive(const TcpSegment& segment, base::TimePoint now) {
  m_tcp.Receive(segment, now);
  ReadRequest();
  SendMoreOfAnswer();
  CloseAfterPeer();
}

void ServerConnection::Advance(base::TimePoint now) {
  m_tcp.Advance(now);
  SendDueEvents(now);
}

void ServerConnection::ReadRequest() {
  m_received += m_tcp.TakeReceived();
  // Uploads of a feed's reader are discarded.
  if (m_phase == Phase::kFeeding)
    m_received.clear();
  if (m_received.empty() || m_malformed)
    return;
  if (m_phase == Phase::kReading && m_received.size() < kRequestBytes)
    return;
  if (m_phase == Phase::kReading)
    m_request = DecodeRequest(m_received);
  m_malformed = m_phase != Phase::kReading || !m_request;
  m_received.clear();
  m_phase = m_malformed ? Phase::kDone : Phase::kWaiting;
  if (m_malformed)
    m_tcp.Abort();
}

void ServerConnection::CloseAfterPeer() {
  if (!m_tcp.PeerHasFinished())
    return;
  if (m_phase == Phase::kWaiting || m_phase == Phase::kSendingBody)
    return;
  m_phase = Phase::kDone;
  m_tcp.Close();
}

AnswerHeader ServerConnection::MakeHeader(AnswerStatus status) const {
  AnswerHeader header;
  header.m_id = m_request->m_id;
  header.m_status = status;
  header.m_service_address = m_service_address;
  return header;
}

void ServerConnection::StartAnswer(base::TimePoint now) {
  VERIFY(m_phase == Phase::kWaiting);
  if (m_request->m_kind == RequestKind::kFeed) {
    m_phase = Phase::kFeeding;
    m_next_event = now;
    SendDueEvents(now);
    return;
  }
  m_phase = Phase::kSendingBody;
  AnswerHeader header = MakeHeader(AnswerStatus::kWhole);
  header.m_body_bytes = m_request->m_answer_bytes;
  m_tcp.Send(EncodeAnswerHeader(header));
  SendMoreOfAnswer();
  CloseAfterPeer();
}

void ServerConnection::AnswerNotRun() {
  VERIFY(m_phase == Phase::kWaiting);
  m_phase = Phase::kDone;
  m_tcp.Send(EncodeAnswerHeader(MakeHeader(AnswerStatus::kNotRun)));
  m_tcp.Close();
}

void ServerConnection::SendMoreOfAnswer() {
  if (m_phase != Phase::kSendingBody || m_tcp.IsClosed())
    return;
  const std::size_t unacknowledged = m_tcp.UnacknowledgedBytes();
  const std::uint32_t left = m_request->m_answer_bytes - m_answer_offset;
  if (left > 0 && unacknowledged >= kSendBufferBytes / 2)
    return;
  const auto count = static_cast<std::uint32_t>(
      std::min<std::size_t>(left, kSendBufferBytes - unacknowledged));
  m_tcp.Send(PatternBytes(m_request->m_id, m_answer_offset, count));
  m_answer_offset += count;
  if (m_answer_offset == m_request->m_answer_bytes)
    m_phase = Phase::kDone;
}

void ServerConnection::SendDueEvents(base::TimePoint now) {
  if (m_phase != Phase::kFeeding || m_next_event > now || m_tcp.IsClosed())
    return;
  if (m_tcp.UnacknowledgedBytes() < kSendBufferBytes)
    SendEvent();
  const base::Duration interval = std::max<base::Duration>(
      m_request->m_feed_interval, kShortestFeedInterval);
  m_next_event += interval;
  if (m_next_event <= now)
    m_next_event = now + interval;
}

void ServerConnection::SendEvent() {
  AnswerHeader header = MakeHeader(AnswerStatus::kEvent);
  header.m_body_bytes = kFeedEventBytes;
  header.m_sequence = m_next_sequence++;
  m_tcp.Send(EncodeAnswerHeader(header));
  m_tcp.Send(PatternBytes(m_request->m_id, 0, kFeedEventBytes));
}

std::vector<TcpSegment> ServerConnection::TakeSegments(base::TimePoint now) {
  return m_tcp.TakeSegments(now);
}

}  // namespace stand_ins
