// What became of the flows of a stand-in caller.

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

// What the answers to some flows held.
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
  // The totals of the flows whose connections have closed.
  const AnswerTotals& ClosedAnswers() const { return m_closed_answers; }
  // Adds all counters.
  void AddCountersTo(JsonLine* line) const;
  // Adds the percentiles of the waits; takes time in proportion to the flows.
  void AddWaitsTo(JsonLine* line) const;
  JsonLine RefusedIdsLine() const;

  // Commands.
  // A request is tried for the first time, or again.
  void CountFirstOpening() { ++m_flows; }
  void CountRetry(RequestId id);
  // A retry found no source port; `result` is that of the last try.
  void CountAbandonedRetry(FlowResult result);
  void CountSkipped() { ++m_skipped; }
  // The handshake of a flow has been completed.
  void CountEstablished() { ++m_established; }
  // The result of a flow has been decided. `is_final` is false if the request
  // is tried again.
  void CountResult(const CallerFlow& flow, bool is_final);
  // The connection of a flow has closed.
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
  // The time to the answer beyond the service time, of each flow, in
  // microseconds.
  std::vector<std::uint32_t> m_waits;
  std::set<RequestId> m_refused_ids;
};

}  // namespace stand_ins

#endif  // STANDINS_CALLER_REPORT_H_
