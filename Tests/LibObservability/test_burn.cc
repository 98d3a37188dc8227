#include <doctest/doctest.h>

#include <algorithm>

#include "LibObservability/burn_recorder.h"
#include "LibObservability/burn_render.h"
#include "LibObservability/burn_status.h"
#include "LibObservability/combined_burn_report.h"

using namespace std::chrono_literals;
using observability::BurnRecorder;
using observability::BurnStatus;
using observability::BurnWindow;
using observability::CombinedBurnReport;
using observability::EventCounts;
using observability::Objective;

namespace {

const base::TimePoint kStart = base::TimePoint() + 1000h;
constexpr auto kStep = 10s;
constexpr std::uint64_t kEventsPerStep = 100'000;

// Records kEventsPerStep events every kStep, of which `bad_events` are bad, and
// returns the end time.
base::TimePoint RecordSteadyEvents(BurnRecorder& recorder,
                                   base::TimePoint begin,
                                   base::Duration duration,
                                   std::uint64_t bad_events) {
  base::TimePoint now = begin;
  for (; now < begin + duration; now += kStep)
    recorder.Record("portal", Objective::kBrokenFlows,
                    {bad_events, kEventsPerStep}, now);
  return now;
}

BurnStatus StatusOf(const BurnRecorder& recorder, base::TimePoint now) {
  return observability::EvaluateBurn(recorder.Report(now), {}).front();
}

double RateOver(const BurnStatus& status, BurnWindow window) {
  return status.m_burn_rates[static_cast<std::size_t>(window)];
}

}  // namespace

TEST_CASE("using exactly the error budget gives burn rate 1 in every window") {
  BurnRecorder recorder;
  constexpr std::uint64_t kAllowedBadEvents = 10;

  const auto now = RecordSteadyEvents(recorder, kStart, 72h, kAllowedBadEvents);
  const BurnStatus status = StatusOf(recorder, now - kStep);

  for (const double rate : status.m_burn_rates)
    CHECK(rate == doctest::Approx(1.0));
  REQUIRE(status.m_alert);
  CHECK(status.m_alert->m_severity == observability::AlertSeverity::kTicket);
}

TEST_CASE("a window counts events within its length and no older events") {
  BurnRecorder recorder;
  recorder.Record("portal", Objective::kBrokenFlows, {1, 1}, kStart);
  const auto total_after = [&](base::Duration age, BurnWindow window) {
    return StatusOf(recorder, kStart + age)
        .m_counts[static_cast<std::size_t>(window)]
        .m_total;
  };

  CHECK(total_after(4min + 30s, BurnWindow::kFiveMinutes) == 1);
  CHECK(total_after(5min, BurnWindow::kFiveMinutes) == 0);
  CHECK(total_after(59min, BurnWindow::kOneHour) == 1);
  CHECK(total_after(1h, BurnWindow::kOneHour) == 0);
  CHECK(total_after(5h, BurnWindow::kSixHours) == 1);
  CHECK(total_after(71h, BurnWindow::kThreeDays) == 1);
  CHECK(total_after(72h, BurnWindow::kThreeDays) == 0);
}

TEST_CASE("a page alert needs both windows and ends soon after the fault") {
  BurnRecorder recorder;
  auto now = RecordSteadyEvents(recorder, kStart, 72h, 0);
  CHECK_FALSE(StatusOf(recorder, now).m_alert);

  // A burn rate of 200 exceeds 14.4 over an hour after about 5 minutes.
  now = RecordSteadyEvents(recorder, now, 2min, 2000);
  CHECK(RateOver(StatusOf(recorder, now), BurnWindow::kFiveMinutes) > 14.4);
  CHECK_FALSE(StatusOf(recorder, now).m_alert);
  now = RecordSteadyEvents(recorder, now, 4min, 2000);
  const auto alert = StatusOf(recorder, now).m_alert;
  REQUIRE(alert);
  CHECK(alert->m_burn_rate == doctest::Approx(14.4));

  now = RecordSteadyEvents(recorder, now, 6min, 0);
  const auto later = StatusOf(recorder, now);
  CHECK(RateOver(later, BurnWindow::kOneHour) > 14.4);
  CHECK((!later.m_alert || later.m_alert->m_burn_rate < 14.4));
}

TEST_CASE("reports of several balancers merge by addition") {
  BurnRecorder first;
  BurnRecorder second;
  first.Record("portal", Objective::kRefusedOpenings, {1, 100}, kStart);
  second.Record("portal", Objective::kRefusedOpenings, {2, 300}, kStart);
  second.Record("archive", Objective::kSlowOpenings, {5, 5}, kStart);

  auto report = first.Report(kStart);
  report.Merge(second.Report(kStart));
  const auto statuses =
      observability::EvaluateBurn(report, {{"archive", {0.5, 0.5, 0.5}}});

  REQUIRE(statuses.size() == 6);
  CHECK(statuses[2].m_counts.front() == EventCounts{5, 5});
  CHECK(statuses[2].m_burn_rates.front() == doctest::Approx(2.0));
  CHECK(statuses[4].m_counts.front() == EventCounts{3, 400});
}

TEST_CASE("the number of services is bounded") {
  BurnRecorder recorder;
  for (int index = 0; index < 1000; ++index)
    recorder.Record(std::to_string(index), Objective::kBrokenFlows, {0, 1},
                    kStart);

  CHECK(recorder.Report(kStart).services().size() ==
        observability::BurnReport::kMaximumServices);
}

TEST_CASE("the report is rendered with escaped names") {
  BurnRecorder recorder;
  recorder.Record("<portal>", Objective::kBrokenFlows, {1, 10}, kStart);
  const auto statuses =
      observability::EvaluateBurn(recorder.Report(kStart), {});

  const std::string text = observability::RenderBurnText(statuses);
  const std::string svg = observability::RenderBurnSvg(statuses);

  CHECK(std::count(text.begin(), text.end(), '\n') == 4);
  CHECK(text.starts_with("service   objective                      budget"));
  CHECK(text.find("<portal>  broken flows                   0.0001  "
                  "1000.0x (1/10)  1000.0x (1/10)") != std::string::npos);
  CHECK(text.find("1000.0x (1/10)  page\n") != std::string::npos);
  CHECK(svg.starts_with("<svg "));
  CHECK(svg.ends_with("</svg>"));
  CHECK(svg.find("&lt;portal&gt;: broken flows, page") != std::string::npos);
  CHECK(svg.find("<portal>") == std::string::npos);
}

TEST_CASE("a sum over data centres names its missing balancers") {
  BurnRecorder recorder;
  recorder.Record("portal", Objective::kRefusedOpenings, {1, 100}, kStart);
  const CombinedBurnReport one(recorder.Report(kStart), 90s);
  CombinedBurnReport remote(recorder.Report(kStart), 10s);
  remote.AddMissingBalancer("entry-3");

  CombinedBurnReport sum = one;
  sum.Merge(one, "");
  CHECK(sum.IsComplete());
  sum.Merge(remote, "kiruna");
  CHECK_FALSE(sum.IsComplete());
  sum.AddMissingDataCentre("lund");

  const auto statuses = observability::EvaluateBurn(sum.report(), {});
  CHECK(statuses[1].m_counts.front() == EventCounts{3, 300});
  CHECK(statuses[1].m_counts.back() == EventCounts{3, 300});
  CHECK(RenderCoverage(sum) ==
        "Counts of 3 of 4 balancers, missing: kiruna/entry-3; no answer from "
        "data centres: lund; the balancer started last has counted for 10 s.");
}

TEST_CASE("the names of missing balancers are bounded, their number is not") {
  CombinedBurnReport sum;
  for (std::size_t index = 0;
       index < CombinedBurnReport::kMaximumMissingNames + 5; ++index)
    sum.AddMissingBalancer("b");

  CHECK(sum.missing().size() == CombinedBurnReport::kMaximumMissingNames);
  CHECK(RenderCoverage(sum).find(" and 5 more") != std::string::npos);
}
