#include "StandIns/tcp_connection.h"

#include <algorithm>
#include <utility>

#include "LibBase/verify.h"
#include "StandIns/tcp_packet.h"

namespace stand_ins {

namespace {

// RFC 6928.
constexpr std::size_t kInitialCongestionWindowBytes = 10 * kMaximumSegmentBytes;
constexpr auto kChallengeInterval = std::chrono::milliseconds(100);

}  // namespace

TcpConnection TcpConnection::Connect(std::uint32_t initial_sequence,
                                     base::TimePoint now,
                                     const TcpOptions& options) {
  return {TcpState::kSynSent, initial_sequence, now, options};
}

TcpConnection TcpConnection::Accept(std::uint32_t initial_sequence,
                                    const TcpSegment& syn,
                                    base::TimePoint now,
                                    const TcpOptions& options) {
  VERIFY(syn.m_syn && !syn.m_ack && !syn.m_rst);
  TcpConnection connection(TcpState::kSynReceived, initial_sequence, now,
                           options);
  connection.m_initial_receive_sequence = syn.m_sequence;
  connection.m_reassembly.Start(1);
  connection.m_peer_window = syn.m_window;
  return connection;
}

TcpConnection::TcpConnection(TcpState state,
                             std::uint32_t initial_sequence,
                             base::TimePoint now,
                             const TcpOptions& options)
    : m_options(options),
      m_state(state),
      m_initial_send_sequence(initial_sequence),
      m_congestion_window(kInitialCongestionWindowBytes),
      m_retransmission_timeout(options.m_initial_retransmission_timeout),
      m_last_progress(now),
      m_last_received(now),
      m_keep_alive_start(now) {}

// Sequence numbers ----------------------------------------------------------

std::uint32_t TcpConnection::SendSequence(Offset offset) const {
  return m_initial_send_sequence + static_cast<std::uint32_t>(offset);
}

std::uint32_t TcpConnection::ReceiveSequence(Offset offset) const {
  return m_initial_receive_sequence + static_cast<std::uint32_t>(offset);
}

std::int64_t TcpConnection::ReceiveOffsetOf(std::uint32_t sequence) const {
  const Offset next = m_reassembly.Next();
  const std::uint32_t distance = sequence - ReceiveSequence(next);
  return static_cast<std::int64_t>(next) + static_cast<std::int32_t>(distance);
}

std::int64_t TcpConnection::SendOffsetOf(std::uint32_t acknowledgment) const {
  const std::uint32_t distance =
      acknowledgment - SendSequence(m_unacknowledged);
  return static_cast<std::int64_t>(m_unacknowledged) +
         static_cast<std::int32_t>(distance);
}

bool TcpConnection::IsOwnFinAcknowledged() const {
  return m_close_requested && m_unacknowledged > m_data_end;
}

// RFC 9293, section 3.4, table 6; the window is never zero.
bool TcpConnection::IsAcceptable(const TcpSegment& segment) const {
  const std::int64_t start = ReceiveOffsetOf(segment.m_sequence);
  const auto next = static_cast<std::int64_t>(m_reassembly.Next());
  if (start >= next + kReceiveWindowBytes)
    return false;
  if (segment.Length() == 0)
    return start >= next;
  return start + segment.Length() > next;
}

// Transitions ---------------------------------------------------------------

void TcpConnection::AfterOwnFinAcknowledged(base::TimePoint now) {
  if (m_state == TcpState::kFinWait1)
    m_state = TcpState::kFinWait2;
  else if (m_state == TcpState::kClosing)
    EnterTimeWait(now);
  else if (m_state == TcpState::kLastAck)
    CloseWith(TcpEnd::kFinished);
}

void TcpConnection::AfterPeerFin(base::TimePoint now) {
  if (m_state == TcpState::kEstablished)
    m_state = TcpState::kCloseWait;
  else if (m_state == TcpState::kFinWait1)
    m_state = TcpState::kClosing;
  else if (m_state == TcpState::kFinWait2)
    EnterTimeWait(now);
}

void TcpConnection::EnterTimeWait(base::TimePoint now) {
  m_state = TcpState::kTimeWait;
  m_retransmission_deadline.reset();
  if (m_options.m_time_wait == base::Duration::zero())
    CloseWith(TcpEnd::kFinished);
  else
    m_time_wait_deadline = now + m_options.m_time_wait;
}

void TcpConnection::CloseWith(TcpEnd end) {
  m_state = TcpState::kClosed;
  m_end = end;
  m_retransmission_deadline.reset();
  m_time_wait_deadline.reset();
  m_send_buffer.clear();
  if (end != TcpEnd::kFinished)
    m_acknowledgment_due = false;
}

void TcpConnection::Send(std::string_view bytes) {
  VERIFY(!m_close_requested);
  if (IsClosed())
    return;
  m_send_buffer.append(bytes);
  m_data_end += bytes.size();
}

void TcpConnection::Close() {
  if (m_close_requested || IsClosed())
    return;
  if (!m_was_established) {
    Abort();
    return;
  }
  m_close_requested = true;
  if (m_state == TcpState::kEstablished)
    m_state = TcpState::kFinWait1;
  else if (m_state == TcpState::kCloseWait)
    m_state = TcpState::kLastAck;
}

void TcpConnection::Abort() {
  if (IsClosed())
    return;
  const bool has_peer =
      m_state != TcpState::kSynSent && m_state != TcpState::kTimeWait;
  if (has_peer) {
    TcpSegment reset = MakeSegment(m_highest);
    reset.m_syn = false;
    reset.m_fin = false;
    reset.m_payload.clear();
    reset.m_ack = true;
    reset.m_rst = true;
    m_output.push_back(std::move(reset));
  }
  CloseWith(TcpEnd::kAborted);
}

// Timers --------------------------------------------------------------------

std::optional<base::TimePoint> TcpConnection::KeepAliveDeadline() const {
  const bool may_keep_alive = m_state == TcpState::kEstablished ||
                              m_state == TcpState::kCloseWait ||
                              m_state == TcpState::kFinWait2;
  if (!may_keep_alive || m_retransmission_deadline)
    return std::nullopt;
  return m_keep_alive_start + m_options.m_keep_alive_interval;
}

std::optional<base::TimePoint> TcpConnection::NextDeadline() const {
  if (m_time_wait_deadline)
    return m_time_wait_deadline;
  if (m_retransmission_deadline)
    return m_retransmission_deadline;
  return KeepAliveDeadline();
}

void TcpConnection::Advance(base::TimePoint now) {
  if (m_time_wait_deadline && *m_time_wait_deadline <= now)
    CloseWith(TcpEnd::kFinished);
  if (m_retransmission_deadline && *m_retransmission_deadline <= now)
    RetransmitAfterTimeout(now);
  const auto keep_alive = KeepAliveDeadline();
  if (keep_alive && *keep_alive <= now)
    SendKeepAlive(now);
}

void TcpConnection::RetransmitAfterTimeout(base::TimePoint now) {
  if (now - m_last_progress >= m_options.m_user_timeout) {
    CloseWith(TcpEnd::kTimedOut);
    return;
  }
  m_next = m_unacknowledged;
  m_congestion_window = kMaximumSegmentBytes;
  m_duplicate_acknowledgments = 0;
  m_recovery_end.reset();
  m_retransmission_timeout = std::min(
      2 * m_retransmission_timeout, m_options.m_maximum_retransmission_timeout);
  m_retransmission_deadline = now + m_retransmission_timeout;
}

// RFC 9293, section 3.8.4.
void TcpConnection::SendKeepAlive(base::TimePoint now) {
  if (now - m_last_received >= m_options.m_user_timeout) {
    CloseWith(TcpEnd::kTimedOut);
    return;
  }
  m_keep_alive_start = now;
  TcpSegment probe = MakeSegment(m_highest);
  probe.m_sequence = SendSequence(m_highest - 1);
  probe.m_payload.clear();
  probe.m_fin = false;
  m_output.push_back(std::move(probe));
}

// Sending -------------------------------------------------------------------

void TcpConnection::RejectAcknowledgment(const TcpSegment& segment) {
  if (segment.m_rst)
    return;
  TcpSegment reset;
  reset.m_sequence = segment.m_acknowledgment;
  reset.m_rst = true;
  m_output.push_back(std::move(reset));
}

void TcpConnection::QueueChallengeAcknowledgment(base::TimePoint now) {
  if (m_last_challenge && now - *m_last_challenge < kChallengeInterval)
    return;
  m_last_challenge = now;
  m_acknowledgment_due = true;
}

void TcpConnection::RetransmitFirst() {
  m_output.push_back(MakeSegment(m_unacknowledged));
}

TcpSegment TcpConnection::MakeSegment(Offset offset) const {
  TcpSegment segment;
  segment.m_sequence = SendSequence(offset);
  segment.m_window = kReceiveWindowBytes;
  segment.m_ack = m_state != TcpState::kSynSent;
  if (segment.m_ack)
    segment.m_acknowledgment = ReceiveSequence(m_reassembly.Next());
  if (offset == 0) {
    segment.m_syn = true;
    return segment;
  }
  if (offset > m_data_end)
    return segment;
  const Offset data_start = m_data_end - m_send_buffer.size();
  VERIFY(offset >= data_start);
  segment.m_payload =
      m_send_buffer.substr(offset - data_start, kMaximumSegmentBytes);
  segment.m_fin =
      m_close_requested && offset + segment.m_payload.size() == m_data_end;
  return segment;
}

bool TcpConnection::HasNewSegment() const {
  if (IsClosed() || m_state == TcpState::kTimeWait)
    return false;
  if (m_next == 0)
    return true;
  if (m_state == TcpState::kSynSent || m_state == TcpState::kSynReceived)
    return false;
  if (m_next >= m_data_end)
    return m_close_requested && m_next == m_data_end;
  const std::size_t window = std::min(m_congestion_window, m_peer_window);
  return m_next < m_unacknowledged + window;
}

void TcpConnection::TransmitNew(base::TimePoint now) {
  while (HasNewSegment()) {
    if (m_unacknowledged == m_highest)
      m_last_progress = now;
    TcpSegment segment = MakeSegment(m_next);
    m_next += segment.Length();
    m_highest = std::max(m_highest, m_next);
    if (segment.m_ack)
      m_acknowledgment_due = false;
    m_output.push_back(std::move(segment));
    if (!m_retransmission_deadline)
      m_retransmission_deadline = now + m_retransmission_timeout;
  }
}

std::vector<TcpSegment> TcpConnection::TakeSegments(base::TimePoint now) {
  TransmitNew(now);
  if (m_acknowledgment_due) {
    TcpSegment acknowledgment = MakeSegment(m_highest);
    acknowledgment.m_payload.clear();
    acknowledgment.m_syn = false;
    acknowledgment.m_fin = false;
    m_output.push_back(std::move(acknowledgment));
    m_acknowledgment_due = false;
  }
  return std::exchange(m_output, {});
}

}  // namespace stand_ins
