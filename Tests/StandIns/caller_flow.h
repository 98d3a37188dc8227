// One flow of the stand-in caller: a TCP connection, the request sent on the
// connection and the verification of the answer. The class does no I/O. The
// result of a flow is decided once.

#ifndef STANDINS_CALLER_FLOW_H_
#define STANDINS_CALLER_FLOW_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "StandIns/answer_verifier.h"
#include "StandIns/json_line.h"
#include "StandIns/request_message.h"
#include "StandIns/tcp_connection.h"

namespace stand_ins {

enum class FlowResult {
  kOpen,             // not decided yet
  kWhole,            // the whole answer has arrived, and no other byte
  kRefused,          // the opening was refused; the request did not run
  kNotRun,           // the server answered that it did not run the request
  kUnanswered,       // the opening was not answered by the deadline
  kOpeningAborted,   // the opening was reset, but not refused
  kExpired,          // established, but no answer had begun by the deadline
  kReset,            // established, then reset
  kUnknownToServer,  // established, then reset without ACK
  kSilent,           // established, then no progress for too long
  kTruncated,        // the server sent FIN before the answer was whole
  kWrongAnswer,      // whole, but with wrong bytes or for another request
};

inline constexpr base::EnumTable<FlowResult, 12> kFlowResultNames{{
    {FlowResult::kOpen, "open"},
    {FlowResult::kWhole, "whole"},
    {FlowResult::kRefused, "refused"},
    {FlowResult::kNotRun, "not_run"},
    {FlowResult::kUnanswered, "unanswered_openings"},
    {FlowResult::kOpeningAborted, "aborted_openings"},
    {FlowResult::kExpired, "expired"},
    {FlowResult::kReset, "resets"},
    {FlowResult::kUnknownToServer, "unknown_to_server"},
    {FlowResult::kSilent, "silent"},
    {FlowResult::kTruncated, "truncated"},
    {FlowResult::kWrongAnswer, "wrong_answers"},
}};

// Whether the result means that the flow broke after it was established.
bool IsBroken(FlowResult result);

// Whether the result proves that the request did not run.
bool IsRefusedAsNotRun(FlowResult result);

struct FlowLimits {
  // When the request was first sent, over all attempts.
  base::TimePoint m_first_attempt_time;
  // When the request expires.
  base::TimePoint m_deadline;
  // The longest time without progress of an established flow: without a segment
  // of the server before the answer begins, without answer bytes afterwards.
  base::Duration m_silence = std::chrono::seconds(5);
  // Interval between the uploads of a feed's reader; zero: no uploads.
  base::Duration m_upload_interval{};
  TcpOptions m_tcp;
};

class CallerFlow {
 public:
  CallerFlow(const Request& request,
             base::Endpoint service_address,
             const FlowLimits& limits,
             std::uint32_t initial_sequence,
             base::TimePoint now);

  // Queries.
  const Request& GetRequest() const { return m_request; }
  const AnswerVerifier& Answer() const { return m_answer; }
  FlowResult Result() const { return m_result; }
  bool WasEstablished() const { return m_tcp.WasEstablished(); }
  bool IsConnectionClosed() const { return m_tcp.IsClosed(); }
  // The time from the first attempt to the first byte of the answer.
  std::optional<base::Duration> TimeToAnswer() const;
  // The longest time between two events of a feed so far.
  base::Duration LongestEventGap(base::TimePoint now) const;
  std::optional<base::TimePoint> NextDeadline() const;
  // Describes the state in which a flow broke, for diagnosis.
  JsonLine BrokenLine(base::TimePoint now) const;

  // Commands.
  void Receive(const TcpSegment& segment, base::TimePoint now);
  void Advance(base::TimePoint now);
  // Closes a feed that has begun. The result is kWhole if every event has
  // arrived.
  void FinishFeed(base::TimePoint now);
  std::vector<TcpSegment> TakeSegments(base::TimePoint now);

 private:
  bool IsFeed() const { return m_request.m_kind == RequestKind::kFeed; }
  // When the flow becomes silent if it makes no progress.
  base::TimePoint SilenceDeadline() const;
  // When the flow is aborted if its answer has not begun.
  std::optional<base::TimePoint> AnswerDeadline() const;
  bool IsAnswerRight() const;

  void SendRequest(base::TimePoint now);
  void UploadIfDue(base::TimePoint now);
  std::optional<base::TimePoint> UploadDeadline() const;
  void ReadAnswer(base::TimePoint now);
  void DecideAfterClose();
  void GiveUpIfDue(base::TimePoint now);
  void Decide(FlowResult result);

  Request m_request;
  FlowLimits m_limits;
  TcpConnection m_tcp;
  AnswerVerifier m_answer;
  std::optional<base::TimePoint> m_first_answer;
  base::TimePoint m_last_answer;
  base::Duration m_longest_event_gap{};
  base::TimePoint m_next_upload;
  bool m_request_sent = false;
  FlowResult m_result = FlowResult::kOpen;
};

}  // namespace stand_ins

#endif  // STANDINS_CALLER_FLOW_H_
