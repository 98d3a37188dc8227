// Counts the results of the flows of a stand-in caller.

#ifndef STANDINS_CALLER_REPORT_H_
#define STANDINS_CALLER_REPORT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "LibBase/time.h"
#include "StandIns/caller_flow.h"
#include "StandIns/json_line.h"
#include "StandIns/request_message.h"

namespace stand_ins {

// Totals over the answers of several flows.
struct AnswerTotals {
  std::uint64_t m_wrong_bytes = 0;
  std::uint64_t m_misdelivered_answers = 0;
  std::uint64_t m_feed_events = 0;
  std::uint64_t m_feed_gaps = 0;
  base::Duration m_longest_event_gap{};

  void Add(const CallerFlow& flow, base::TimePoint now);
};

class CallerReport {
 public:
  // Queries.
  std::uint64_t CountOf(FlowResult result) const;
  // The totals over the flows whose connections have closed.
  const AnswerTotals& ClosedAnswers() const { return m_closed_answers; }
  // Adds all counters.
  void AddCountersTo(JsonLine* line) const;
  // Adds percentiles of the waiting times, in time linear in the flows.
  void AddWaitsTo(JsonLine* line) const;
  JsonLine RefusedIdsLine() const;

  // Commands.
  // Counts the first attempt of a request, or a later one.
  void CountFirstOpening() { ++m_flows; }
  void CountRetry(RequestId id);
  // Counts a retry that found no free source port. `result` is the result of
  // the last attempt.
  void CountAbandonedRetry(FlowResult result);
  void CountSkipped() { ++m_skipped; }
  // Counts a flow whose handshake has completed.
  void CountEstablished() { ++m_established; }
  // Counts a flow whose result is decided. `is_final` is false if the request
  // is retried.
  void CountResult(const CallerFlow& flow, bool is_final);
  // Counts a flow whose connection has closed.
  void CountClosed(const CallerFlow& flow, base::TimePoint now) {
    m_closed_answers.Add(flow, now);
  }

 private:
  static constexpr std::size_t kResults = kFlowResultNames.size();

  double WaitPercentileMs(double share) const;
  std::uint64_t Broken() const;

  std::uint64_t m_flows = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_skipped = 0;
  std::uint64_t m_established = 0;
  std::uint64_t m_refused_openings = 0;
  std::array<std::uint64_t, kResults> m_results{};
  AnswerTotals m_closed_answers;
  // For each flow, the time to the answer minus the service time, in
  // microseconds.
  std::vector<std::uint32_t> m_waits;
  std::set<RequestId> m_refused_ids;
};

}  // namespace stand_ins

#endif  // STANDINS_CALLER_REPORT_H_
