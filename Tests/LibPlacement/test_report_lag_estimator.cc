#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <vector>

#include "LibPlacement/load_view_fixture.h"
#include "LibPlacement/report_lag_estimator.h"

using namespace std::chrono_literals;
using namespace placement;

namespace {

// Simulates a service whose load reports lag by `lag` but state an age of zero.
// Returns the lag that the view estimates.
base::Duration EstimateLag(base::Duration lag) {
  LoadViewFixture fixture(5);
  base::Random random(11);
  struct Snapshot {
    base::TimePoint m_at;
    std::vector<std::int32_t> m_open;
  };
  std::deque<Snapshot> snapshots;
  std::vector<std::int32_t> open(5, 0);
  for (int step = 0; step < 3000; ++step) {
    const auto number = static_cast<std::uint32_t>(random.Below(5));
    open[number] += open[number] > 0 && random.Below(2) == 0 ? -1 : 1;
    std::vector<OpenFlowCount> counts;
    for (std::uint32_t each = 0; each < 5; ++each)
      counts.push_back({MakeServerId(each), open[each]});
    fixture.Apply(PeerOpenFlowCounts{counts, 6});
    snapshots.push_back({fixture.m_now, open});
    while (snapshots.size() > 1 && snapshots[1].m_at <= fixture.m_now - lag)
      snapshots.pop_front();
    if (step % 10 == 0) {
      for (std::uint32_t each = 0; each < 5; ++each) {
        const auto busy =
            static_cast<std::uint32_t>(snapshots.front().m_open[each]);
        fixture.ReportLoad(each, busy, 0ms);
      }
    }
    fixture.AdvanceTime(30ms);
  }
  return fixture.m_view.EstimatedReportLag();
}

}  // namespace

TEST_CASE("the lag of load reports that do not state it is estimated") {
  CHECK(EstimateLag(0ms) <= 25ms);
  CHECK(EstimateLag(200ms) >= 150ms);
  CHECK(EstimateLag(200ms) <= 300ms);
  CHECK(EstimateLag(1000ms) >= 800ms);
  CHECK(EstimateLag(1000ms) <= 1500ms);
}
