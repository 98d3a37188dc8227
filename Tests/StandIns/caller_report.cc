#include "StandIns/caller_report.h"

#include <algorithm>
#include <string>

namespace stand_ins {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr double kMedian = 0.50;
constexpr double kHighPercentile = 0.99;

}  // namespace

void AnswerTotals::Add(const CallerFlow& flow, base::TimePoint now) {
  const AnswerVerifier& answer = flow.Answer();
  m_wrong_bytes += answer.WrongBytes();
  m_misdelivered_answers += answer.IsMisdelivered() ? 1 : 0;
  m_feed_events += answer.Events();
  m_feed_gaps += answer.EventGaps();
  m_longest_event_gap =
      std::max(m_longest_event_gap, flow.LongestEventGap(now));
}

std::uint64_t CallerReport::CountOf(FlowResult result) const {
  return m_results.at(static_cast<std::size_t>(result));
}

std::uint64_t CallerReport::Broken() const {
  std::uint64_t broken = 0;
  for (const auto& entry : kFlowResultNames)
    broken += IsBroken(entry.m_value) ? CountOf(entry.m_value) : 0;
  return broken;
}

void CallerReport::AddCountersTo(JsonLine* line) const {
  line->Add("flows", m_flows)
      .Add("established", m_established)
      .Add("broken", Broken())
      .Add("broken_after_established", Broken());
  for (const auto& entry : kFlowResultNames) {
    if (entry.m_value != FlowResult::kOpen)
      line->Add(entry.m_name, CountOf(entry.m_value));
  }
  line->Add("refused_openings", m_refused_openings)
      .Add("retries", m_retries)
      .Add("skipped_openings", m_skipped);
}

void CallerReport::AddWaitsTo(JsonLine* line) const {
  line->Add("wait_p50_ms", WaitPercentileMs(kMedian))
      .Add("wait_p99_ms", WaitPercentileMs(kHighPercentile));
}

JsonLine CallerReport::RefusedIdsLine() const {
  std::vector<std::uint64_t> ids;
  for (const RequestId id : m_refused_ids)
    ids.push_back(id.value());
  JsonLine line("refused_ids");
  line.Add("ids", ids);
  return line;
}

void CallerReport::CountRetry(RequestId id) {
  ++m_retries;
  m_refused_ids.erase(id);
}

void CallerReport::CountAbandonedRetry(FlowResult result) {
  ++m_results.at(static_cast<std::size_t>(result));
}

void CallerReport::CountResult(const CallerFlow& flow, bool is_final) {
  const FlowResult result = flow.Result();
  if (result == FlowResult::kRefused)
    ++m_refused_openings;
  if (IsRefusedAsNotRun(result))
    m_refused_ids.insert(flow.GetRequest().m_id);
  if (is_final)
    ++m_results.at(static_cast<std::size_t>(result));
  if (const auto time = flow.TimeToAnswer()) {
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
        *time - flow.GetRequest().m_service_time);
    m_waits.push_back(
        static_cast<std::uint32_t>(std::max<std::int64_t>(wait.count(), 0)));
  }
}

double CallerReport::WaitPercentileMs(double share) const {
  if (m_waits.empty())
    return 0;
  std::vector<std::uint32_t> waits = m_waits;
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
  const auto place = waits.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(waits.begin(), place, waits.end());
  return *place / kMicrosecondsPerMillisecond;
}

}  // namespace stand_ins
