#include "StandIns/caller_flow.h"

#include <algorithm>
#include <string>

namespace stand_ins {

namespace {

// A feed is silent only after this many event intervals without a byte, even if
// the configured silence limit is shorter.
constexpr int kSilentFeedIntervals = 3;
constexpr std::size_t kUploadBytes = 200;

}  // namespace

bool IsBroken(FlowResult result) {
  return result == FlowResult::kReset ||
         result == FlowResult::kUnknownToServer ||
         result == FlowResult::kSilent || result == FlowResult::kTruncated;
}

bool IsRefusedAsNotRun(FlowResult result) {
  return result == FlowResult::kRefused || result == FlowResult::kNotRun;
}

CallerFlow::CallerFlow(const Request& request,
                       base::Endpoint service_address,
                       const FlowLimits& limits,
                       std::uint32_t initial_sequence,
                       base::TimePoint now)
    : m_request(request),
      m_limits(limits),
      m_tcp(TcpConnection::Connect(initial_sequence, now, limits.m_tcp)),
      m_answer(request, service_address),
      m_last_answer(now) {}

std::optional<base::Duration> CallerFlow::TimeToAnswer() const {
  if (!m_first_answer)
    return std::nullopt;
  return *m_first_answer - m_limits.m_first_attempt_time;
}

base::Duration CallerFlow::LongestEventGap(base::TimePoint now) const {
  if (!IsFeed() || !m_first_answer || m_result != FlowResult::kOpen)
    return m_longest_event_gap;
  return std::max(m_longest_event_gap, now - m_last_answer);
}

base::TimePoint CallerFlow::SilenceDeadline() const {
  if (!m_first_answer)
    return m_tcp.LastReceived() + m_limits.m_silence;
  const base::Duration few_events =
      kSilentFeedIntervals * m_request.m_feed_interval;
  return m_last_answer + std::max(m_limits.m_silence, few_events);
}

std::optional<base::TimePoint> CallerFlow::AnswerDeadline() const {
  if (m_first_answer)
    return std::nullopt;
  return m_limits.m_deadline;
}

std::optional<base::TimePoint> CallerFlow::NextDeadline() const {
  std::optional<base::TimePoint> next = m_tcp.NextDeadline();
  if (m_result != FlowResult::kOpen)
    return next;
  const auto include = [&next](base::TimePoint deadline) {
    next = std::min(next.value_or(deadline), deadline);
  };
  if (const auto deadline = AnswerDeadline())
    include(*deadline);
  if (WasEstablished())
    include(SilenceDeadline());
  if (const auto upload = UploadDeadline())
    include(*upload);
  return next;
}

JsonLine CallerFlow::BrokenLine(base::TimePoint now) const {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  JsonLine line("broken_flow");
  line.Add("request", m_request.m_id.value())
      .Add("result", base::NameOf(kFlowResultNames, m_result))
      .Add("answer_bytes", m_answer.Bytes())
      .Add("unacknowledged_bytes", std::uint64_t{m_tcp.UnacknowledgedBytes()})
      .Add("silent_ms", Milliseconds(now - m_tcp.LastReceived()).count());
  return line;
}

void CallerFlow::Receive(const TcpSegment& segment, base::TimePoint now) {
  m_tcp.Receive(segment, now);
  SendRequest(now);
  ReadAnswer(now);
  DecideAfterClose();
}

void CallerFlow::Advance(base::TimePoint now) {
  m_tcp.Advance(now);
  DecideAfterClose();
  GiveUpIfDue(now);
  UploadIfDue(now);
}

// Uploads start after the first bytes of the feed, so that the request precedes
// them.
std::optional<base::TimePoint> CallerFlow::UploadDeadline() const {
  const bool uploads = IsFeed() && m_first_answer &&
                       m_limits.m_upload_interval > base::Duration::zero();
  if (!uploads || m_result != FlowResult::kOpen || m_tcp.IsClosed())
    return std::nullopt;
  return std::max(m_next_upload, *m_first_answer);
}

void CallerFlow::UploadIfDue(base::TimePoint now) {
  const auto due = UploadDeadline();
  if (!due || *due > now)
    return;
  m_tcp.Send(std::string(kUploadBytes, 'u'));
  m_next_upload = now + m_limits.m_upload_interval;
}

void CallerFlow::SendRequest(base::TimePoint now) {
  if (m_request_sent || !WasEstablished() || m_tcp.IsClosed())
    return;
  m_request_sent = true;
  const base::Duration left =
      std::max(m_limits.m_deadline - now, base::Duration::zero());
  m_request.m_time_left =
      std::chrono::duration_cast<std::chrono::milliseconds>(left);
  m_tcp.Send(EncodeRequest(m_request));
}

void CallerFlow::ReadAnswer(base::TimePoint now) {
  const std::string bytes = m_tcp.TakeReceived();
  if (!bytes.empty()) {
    if (m_first_answer && IsFeed() && m_result == FlowResult::kOpen)
      m_longest_event_gap = std::max(m_longest_event_gap, now - m_last_answer);
    m_first_answer = m_first_answer.value_or(now);
    m_last_answer = now;
    m_answer.Add(bytes);
  }
  if (m_answer.IsNotRun())
    Decide(FlowResult::kNotRun);
  if (m_answer.IsMalformed())
    Decide(FlowResult::kWrongAnswer);
  if (m_answer.IsWhole())
    Decide(IsAnswerRight() ? FlowResult::kWhole : FlowResult::kWrongAnswer);
  if (m_result != FlowResult::kOpen) {
    m_tcp.Close();
  } else if (m_tcp.PeerHasFinished()) {
    Decide(FlowResult::kTruncated);
    m_tcp.Close();
  }
}

bool CallerFlow::IsAnswerRight() const {
  return m_answer.WrongBytes() == 0 && !m_answer.IsMisdelivered() &&
         m_answer.EventGaps() == 0;
}

void CallerFlow::DecideAfterClose() {
  switch (m_tcp.End()) {
    case TcpEnd::kOpen:
      return;
    case TcpEnd::kRefused:
      Decide(FlowResult::kRefused);
      return;
    case TcpEnd::kOpeningAborted:
      Decide(FlowResult::kOpeningAborted);
      return;
    case TcpEnd::kUnknownToPeer:
      Decide(FlowResult::kUnknownToServer);
      return;
    case TcpEnd::kTimedOut:
      Decide(WasEstablished() ? FlowResult::kSilent : FlowResult::kUnanswered);
      return;
    case TcpEnd::kReset:
    case TcpEnd::kAborted:
      Decide(FlowResult::kReset);
      return;
    case TcpEnd::kFinished:
      Decide(FlowResult::kTruncated);
      return;
  }
}

void CallerFlow::GiveUpIfDue(base::TimePoint now) {
  if (m_result != FlowResult::kOpen)
    return;
  const auto deadline = AnswerDeadline();
  if (WasEstablished() && SilenceDeadline() <= now)
    Decide(FlowResult::kSilent);
  else if (deadline && *deadline <= now)
    Decide(WasEstablished() ? FlowResult::kExpired : FlowResult::kUnanswered);
  else
    return;
  m_tcp.Abort();
}

void CallerFlow::FinishFeed(base::TimePoint now) {
  if (!IsFeed() || !m_first_answer || m_result != FlowResult::kOpen)
    return;
  m_longest_event_gap = LongestEventGap(now);
  Decide(IsAnswerRight() ? FlowResult::kWhole : FlowResult::kWrongAnswer);
  m_tcp.Close();
}

void CallerFlow::Decide(FlowResult result) {
  if (m_result == FlowResult::kOpen)
    m_result = result;
}

std::vector<TcpSegment> CallerFlow::TakeSegments(base::TimePoint now) {
  return m_tcp.TakeSegments(now);
}

}  // namespace stand_ins
