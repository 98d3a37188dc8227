// One end of a TCP connection: the subset of RFC 9293 that the stand-ins need.
// The class is a state machine without I/O or addresses: it receives segments
// and the time, and returns the segments to send. Simultaneous opening, urgent
// data, window scaling and selective acknowledgments are not implemented. The
// receive window never closes because the application reads received bytes at
// once.

#ifndef STANDINS_TCP_CONNECTION_H_
#define STANDINS_TCP_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"
#include "StandIns/tcp_reassembly.h"
#include "StandIns/tcp_segment.h"

namespace stand_ins {

enum class TcpState {
  kSynSent,
  kSynReceived,
  kEstablished,
  kFinWait1,
  kFinWait2,
  kCloseWait,
  kClosing,
  kLastAck,
  kTimeWait,
  kClosed,
};

// Why a connection is closed.
enum class TcpEnd {
  kOpen,            // the connection is not closed
  kFinished,        // both ends sent FIN
  kRefused,         // reset in answer to the SYN, sequence number 0
  kOpeningAborted,  // any other reset before the connection was established
  kReset,           // reset with ACK: the peer aborted the connection
  kUnknownToPeer,   // reset without ACK: the peer has no such connection
  kTimedOut,        // the peer stopped acknowledging
  kAborted,         // aborted by this end
};

struct TcpOptions {
  base::Duration m_initial_retransmission_timeout =
      std::chrono::milliseconds(200);
  base::Duration m_maximum_retransmission_timeout =
      std::chrono::milliseconds(1600);
  // How long the peer may leave data or keep-alives unacknowledged (RFC 5482).
  base::Duration m_user_timeout = std::chrono::seconds(30);
  // Time without a segment from the peer after which a keep-alive is sent.
  base::Duration m_keep_alive_interval = std::chrono::seconds(1);
  base::Duration m_time_wait = std::chrono::seconds(1);
};

class TcpConnection {
 public:
  // Starts an active open.
  static TcpConnection Connect(std::uint32_t initial_sequence,
                               base::TimePoint now,
                               const TcpOptions& options);
  // Starts a passive open with the peer's `syn`.
  static TcpConnection Accept(std::uint32_t initial_sequence,
                              const TcpSegment& syn,
                              base::TimePoint now,
                              const TcpOptions& options);

  // Queries.
  TcpState State() const { return m_state; }
  TcpEnd End() const { return m_end; }
  bool IsClosed() const { return m_state == TcpState::kClosed; }
  // Whether the handshake has completed, even if the connection has closed
  // since.
  bool WasEstablished() const { return m_was_established; }
  // Whether the peer has sent FIN and every byte before it has arrived.
  bool PeerHasFinished() const { return m_reassembly.IsFinished(); }
  // When Advance must be called next; nullopt if no timer runs.
  std::optional<base::TimePoint> NextDeadline() const;
  // When the last acceptable segment arrived; initially the start of the
  // connection.
  base::TimePoint LastReceived() const { return m_last_received; }
  // Bytes passed to Send that the peer has not acknowledged.
  std::size_t UnacknowledgedBytes() const { return m_send_buffer.size(); }

  // Commands.
  void Receive(const TcpSegment& segment, base::TimePoint now);
  void Send(std::string_view bytes);
  // Sends FIN after the bytes passed to Send.
  void Close();
  // Closes the connection and sends a reset. No reset is sent in SYN-SENT,
  // where no segment of the peer has arrived, and in TIME-WAIT.
  void Abort();
  // Performs the due retransmissions, keep-alives and TIME-WAIT expiry.
  void Advance(base::TimePoint now);
  // Returns the bytes received in order since the last call.
  std::string TakeReceived() { return m_reassembly.TakeInOrder(); }
  // Returns the segments to send now and clears the output.
  std::vector<TcpSegment> TakeSegments(base::TimePoint now);

 private:
  static constexpr std::uint16_t kReceiveWindowBytes = 65535;

  // Offset of a sequence number from the initial one; does not wrap.
  using Offset = std::uint64_t;

  TcpConnection(TcpState state,
                std::uint32_t initial_sequence,
                base::TimePoint now,
                const TcpOptions& options);

  std::uint32_t SendSequence(Offset offset) const;
  std::uint32_t ReceiveSequence(Offset offset) const;
  // Converts a sequence number or acknowledgment near the expected one to an
  // offset. The result is negative for numbers before the initial one.
  std::int64_t ReceiveOffsetOf(std::uint32_t sequence) const;
  std::int64_t SendOffsetOf(std::uint32_t acknowledgment) const;
  bool IsOwnFinAcknowledged() const;
  bool IsAcceptable(const TcpSegment& segment) const;

  void ReceiveInSynSent(const TcpSegment& segment, base::TimePoint now);
  void ReceiveUnacceptable(const TcpSegment& segment, base::TimePoint now);
  void ReceiveReset(const TcpSegment& segment);
  void ReceiveInSynReceived(const TcpSegment& segment);
  // Returns whether the rest of the segment may be processed.
  bool ReceiveAcknowledgment(const TcpSegment& segment, base::TimePoint now);
  void AcknowledgeUpTo(Offset acknowledged, base::TimePoint now);
  void CountDuplicateAcknowledgment(const TcpSegment& segment);
  void ReceiveText(const TcpSegment& segment, base::TimePoint now);
  void AfterOwnFinAcknowledged(base::TimePoint now);
  void AfterPeerFin(base::TimePoint now);
  void EnterTimeWait(base::TimePoint now);
  void CloseWith(TcpEnd end);
  // Queues a reset without ACK in response to an unacceptable acknowledgment.
  void RejectAcknowledgment(const TcpSegment& segment);
  // Queues a challenge ACK for a segment that is not processed (RFC 5961), at
  // most one per kChallengeInterval. The limit stops two ends whose states
  // disagree from acknowledging each other forever.
  void QueueChallengeAcknowledgment(base::TimePoint now);
  void RetransmitFirst();
  void RetransmitAfterTimeout(base::TimePoint now);
  void SendKeepAlive(base::TimePoint now);
  std::optional<base::TimePoint> KeepAliveDeadline() const;
  bool HasNewSegment() const;
  void TransmitNew(base::TimePoint now);
  TcpSegment MakeSegment(Offset offset) const;

  TcpOptions m_options;
  TcpState m_state;
  TcpEnd m_end = TcpEnd::kOpen;
  bool m_was_established = false;

  // Send side. The SYN has offset 0, the first byte of data offset 1.
  std::uint32_t m_initial_send_sequence;
  Offset m_unacknowledged = 0;  // SND.UNA
  Offset m_next = 0;            // next offset to transmit
  Offset m_highest = 0;         // SND.NXT
  std::string m_send_buffer;    // unacknowledged data, ends at m_data_end
  Offset m_data_end = 1;
  bool m_close_requested = false;
  std::size_t m_congestion_window;
  std::size_t m_peer_window = 0;
  int m_duplicate_acknowledgments = 0;
  // "recover" of RFC 6582 during a fast recovery, otherwise nullopt.
  std::optional<Offset> m_recovery_end;

  // Receive side. The peer's SYN has offset 0.
  std::uint32_t m_initial_receive_sequence = 0;
  TcpReassembly m_reassembly;

  base::Duration m_retransmission_timeout;
  std::optional<base::TimePoint> m_retransmission_deadline;
  std::optional<base::TimePoint> m_time_wait_deadline;
  base::TimePoint m_last_progress;  // last acknowledgment of new data
  base::TimePoint m_last_received;
  base::TimePoint m_keep_alive_start;
  std::optional<base::TimePoint> m_last_challenge;

  bool m_acknowledgment_due = false;
  std::vector<TcpSegment> m_output;
};

}  // namespace stand_ins

#endif  // STANDINS_TCP_CONNECTION_H_
