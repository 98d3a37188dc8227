// One flow of the stand-in caller: a TCP connection, the request on it and the
// check of its answer. A pure state machine; its result is decided once.

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
  kWhole,            // the whole answer has arrived, and nothing but it
  kRefused,          // the opening was refused; the request did not run
  kNotRun,           // the server answered that it did not run the request
  kUnanswered,       // the opening was not answered by the deadline
  kOpeningAborted,   // the opening was reset otherwise than by a refusal
  kExpired,          // established, but no answer had begun by the deadline
  kReset,            // established, then reset
  kUnknownToServer,  // established, then reset without ACK
  kSilent,           // established, then no progress for too long
  kTruncated,        // the server finished before its answer was whole
  kWrongAnswer,      // whole, but of other bytes or another request
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

// Whether the result is a flow that broke after it was established.
bool IsBroken(FlowResult result);

// Whether the result says for sure that the request did not run.
bool IsRefusedAsNotRun(FlowResult result);

struct FlowLimits {
  // When the request was first tried.
  base::TimePoint m_first_attempt_time;
  // When the request has expired.
  base::TimePoint m_deadline;
  // The longest time without progress of an established flow.
  base::Duration m_silence = std::chrono::seconds(5);
  // The reader of a feed uploads some bytes each time; zero for never.
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
  // Whether the connection is closed as well.
  bool IsClosed() const { return m_tcp.IsClosed(); }
  // The time from the first try to the first byte of the answer.
  std::optional<base::Duration> TimeToAnswer() const;
  // The longest time between two events of a feed so far.
  base::Duration LongestEventGap(base::TimePoint now) const;
  std::optional<base::TimePoint> NextDeadline() const;
  // How far a broken flow came, for whoever looks for the cause.
  JsonLine BrokenLine(base::TimePoint now) const;

  // Commands.
  void Receive(const TcpSegment& segment, base::TimePoint now);
  void Advance(base::TimePoint now);
  // Closes a feed that has begun; it is whole if every event has arrived.
  void FinishFeed(base::TimePoint now);
  std::vector<TcpSegment> TakeSegments(base::TimePoint now);

 private:
  bool IsFeed() const { return m_request.m_kind == RequestKind::kFeed; }
  // When the flow counts as silent unless something arrives.
  base::TimePoint SilenceDeadline() const;
  // When the flow is given up unless its answer has begun.
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
