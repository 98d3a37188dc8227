#include <doctest/doctest.h>

#include <chrono>

#include "StandIns/load_history.h"
#include "StandIns/work_queue.h"

using namespace std::chrono_literals;
using stand_ins::JobEventKind;
using stand_ins::JobId;
using stand_ins::WorkQueue;

namespace {

constexpr base::TimePoint kStart;
constexpr base::TimePoint kFarDeadline = kStart + 1h;

}  // namespace

TEST_CASE("requests beyond the slots wait in order of arrival") {
  WorkQueue queue(2, 0ms, kStart);
  for (std::uint64_t id = 1; id <= 3; ++id)
    queue.Submit({JobId(id), 10ms, kFarDeadline});

  const auto started = queue.Advance(kStart);
  REQUIRE(started.size() == 2);
  CHECK(started[1].m_id == JobId(2));
  CHECK(queue.Busy() == 2);
  CHECK(queue.Queued() == 1);
  CHECK(queue.NextDeadline() == kStart + 10ms);

  const auto later = queue.Advance(kStart + 10ms);
  REQUIRE(later.size() == 3);
  CHECK(later[0].m_kind == JobEventKind::kFinished);
  CHECK(later[2].m_kind == JobEventKind::kStarted);
  CHECK(later[2].m_id == JobId(3));
}

TEST_CASE("an expired or cancelled request never occupies a slot") {
  WorkQueue queue(1, 0ms, kStart);
  queue.Submit({JobId(1), 50ms, kFarDeadline});
  queue.Submit({JobId(2), 50ms, kStart + 40ms});
  queue.Submit({JobId(3), 50ms, kFarDeadline});
  queue.Advance(kStart);
  queue.Cancel(JobId(3));

  const auto events = queue.Advance(kStart + 50ms);

  REQUIRE(events.size() == 2);
  CHECK(events[1].m_id == JobId(2));
  CHECK(events[1].m_kind == JobEventKind::kExpired);
  CHECK(queue.Busy() == 0);
}

TEST_CASE("service times of a cold server fall to the normal service times") {
  WorkQueue queue(1, 1000ms, kStart);
  queue.Submit({JobId(1), 10ms, kFarDeadline});
  queue.Advance(kStart);
  CHECK(queue.NextDeadline() == kStart + 40ms);
  queue.Advance(kStart + 1s);
  queue.Submit({JobId(2), 10ms, kFarDeadline});
  queue.Advance(kStart + 1s);
  CHECK(queue.NextDeadline() == kStart + 1010ms);
}

TEST_CASE("the load report is the one that was current one lag ago") {
  stand_ins::LoadHistory history(100ms);
  history.Add({1, 3, 0, 1, 10}, kStart);
  history.Add({2, 3, 0, 2, 10}, kStart + 50ms);
  CHECK(history.ReportAt(kStart + 149ms).m_busy == 1);
  CHECK(history.ReportAt(kStart + 150ms).m_busy == 2);
  history.Add({3, 3, 0, 3, 10}, kStart + 200ms);

  CHECK(history.ReportAt(kStart + 299ms).m_busy == 2);
  CHECK(history.ReportAt(kStart + 300ms).m_busy == 3);
}
