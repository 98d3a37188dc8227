// The SEGMENT ARRIVES event of TcpConnection (RFC 9293, section 3.10.7).

#include <algorithm>

#include "StandIns/tcp_connection.h"
#include "StandIns/tcp_packet.h"

namespace stand_ins {

namespace {

constexpr std::size_t kMaximumCongestionWindowBytes = 65535;
// RFC 5681, section 3.2.
constexpr int kFastRetransmitThreshold = 3;

}  // namespace

void TcpConnection::Receive(const TcpSegment& segment, base::TimePoint now) {
  if (IsClosed())
    return;
  if (m_state == TcpState::kSynSent) {
    ReceiveInSynSent(segment, now);
    return;
  }
  if (!IsAcceptable(segment)) {
    ReceiveUnacceptable(segment, now);
    return;
  }
  if (segment.m_rst) {
    ReceiveReset(segment);
    return;
  }
  if (segment.m_syn) {
    // RFC 9293, section 3.10.7.4, fourth step.
    if (m_state == TcpState::kSynReceived)
      CloseWith(TcpEnd::kOpeningAborted);
    else
      QueueChallengeAcknowledgment(now);
    return;
  }
  if (!segment.m_ack)
    return;
  if (m_state == TcpState::kSynReceived)
    ReceiveInSynReceived(segment);
  if (m_state == TcpState::kSynReceived || !ReceiveAcknowledgment(segment, now))
    return;
  m_last_received = now;
  m_keep_alive_start = now;
  ReceiveText(segment, now);
}

void TcpConnection::ReceiveInSynSent(const TcpSegment& segment,
                                     base::TimePoint now) {
  if (segment.m_ack) {
    const std::int64_t acknowledged = SendOffsetOf(segment.m_acknowledgment);
    if (acknowledged != 1 || m_highest == 0) {
      RejectAcknowledgment(segment);
      return;
    }
  }
  if (segment.m_rst) {
    if (segment.m_ack)
      CloseWith(segment.m_sequence == 0 ? TcpEnd::kRefused
                                        : TcpEnd::kOpeningAborted);
    return;
  }
  if (!segment.m_syn || !segment.m_ack)
    return;
  m_initial_receive_sequence = segment.m_sequence;
  m_reassembly.Start(1);
  m_peer_window = segment.m_window;
  m_state = TcpState::kEstablished;
  m_was_established = true;
  m_last_received = now;
  m_keep_alive_start = now;
  m_acknowledgment_due = true;
  AcknowledgeUpTo(1, now);
}

void TcpConnection::ReceiveUnacceptable(const TcpSegment& segment,
                                        base::TimePoint now) {
  if (segment.m_rst)
    return;
  const bool repeats_opening = segment.m_syn && !segment.m_ack &&
                               ReceiveOffsetOf(segment.m_sequence) == 0;
  if (m_state == TcpState::kSynReceived && repeats_opening) {
    m_next = 0;
    return;
  }
  if (m_state == TcpState::kTimeWait && segment.m_fin)
    EnterTimeWait(now);
  if (segment.Length() > 0)
    m_acknowledgment_due = true;
  else
    QueueChallengeAcknowledgment(now);
}

void TcpConnection::ReceiveReset(const TcpSegment& segment) {
  if (m_state == TcpState::kSynReceived)
    CloseWith(TcpEnd::kOpeningAborted);
  else if (m_state == TcpState::kTimeWait)
    CloseWith(TcpEnd::kFinished);
  else
    CloseWith(segment.m_ack ? TcpEnd::kReset : TcpEnd::kUnknownToPeer);
}

void TcpConnection::ReceiveInSynReceived(const TcpSegment& segment) {
  const std::int64_t acknowledged = SendOffsetOf(segment.m_acknowledgment);
  if (acknowledged != 1 || m_highest == 0) {
    RejectAcknowledgment(segment);
    return;
  }
  m_state = TcpState::kEstablished;
  m_was_established = true;
}

bool TcpConnection::ReceiveAcknowledgment(const TcpSegment& segment,
                                          base::TimePoint now) {
  const std::int64_t acknowledged = SendOffsetOf(segment.m_acknowledgment);
  const auto unacknowledged = static_cast<std::int64_t>(m_unacknowledged);
  const bool too_old = acknowledged + kReceiveWindowBytes < unacknowledged;
  const bool too_new = acknowledged > static_cast<std::int64_t>(m_highest);
  if (too_old || too_new) {
    QueueChallengeAcknowledgment(now);
    return false;
  }
  if (acknowledged < unacknowledged)
    return true;
  m_peer_window = segment.m_window;
  if (acknowledged > unacknowledged)
    AcknowledgeUpTo(static_cast<Offset>(acknowledged), now);
  else
    CountDuplicateAcknowledgment(segment);
  return true;
}

void TcpConnection::AcknowledgeUpTo(Offset acknowledged, base::TimePoint now) {
  const Offset data_start = m_data_end - m_send_buffer.size();
  const Offset data_acknowledged = std::min(acknowledged, m_data_end);
  if (data_acknowledged > data_start)
    m_send_buffer.erase(0, data_acknowledged - data_start);
  const std::size_t newly = acknowledged - m_unacknowledged;
  m_congestion_window =
      std::min(m_congestion_window + newly, kMaximumCongestionWindowBytes);
  m_unacknowledged = acknowledged;
  m_next = std::max(m_next, acknowledged);
  m_duplicate_acknowledgments = 0;
  m_retransmission_timeout = m_options.m_initial_retransmission_timeout;
  m_last_progress = now;
  m_retransmission_deadline.reset();
  if (m_unacknowledged < m_highest)
    m_retransmission_deadline = now + m_retransmission_timeout;
  if (m_recovery_end && acknowledged >= *m_recovery_end)
    m_recovery_end.reset();
  else if (m_recovery_end)
    RetransmitFirst();
  if (IsOwnFinAcknowledged())
    AfterOwnFinAcknowledged(now);
}

void TcpConnection::CountDuplicateAcknowledgment(const TcpSegment& segment) {
  if (segment.Length() > 0 || m_unacknowledged == m_highest || m_recovery_end)
    return;
  if (++m_duplicate_acknowledgments != kFastRetransmitThreshold)
    return;
  m_congestion_window =
      std::max(m_congestion_window / 2, 2 * kMaximumSegmentBytes);
  m_recovery_end = m_highest;
  RetransmitFirst();
}

void TcpConnection::ReceiveText(const TcpSegment& segment,
                                base::TimePoint now) {
  if (segment.Length() == 0)
    return;
  m_acknowledgment_due = true;
  if (m_state != TcpState::kEstablished && m_state != TcpState::kFinWait1 &&
      m_state != TcpState::kFinWait2)
    return;
  std::string_view text = segment.m_payload;
  std::int64_t start = ReceiveOffsetOf(segment.m_sequence);
  if (start < 0)
    return;
  const Offset window_end = m_reassembly.Next() + kReceiveWindowBytes;
  const Offset end = static_cast<Offset>(start) + text.size();
  m_reassembly.Add(static_cast<Offset>(start), text, window_end);
  if (segment.m_fin && end < window_end)
    m_reassembly.AddFin(end);
  if (m_reassembly.IsFinished())
    AfterPeerFin(now);
}

}  // namespace stand_ins
