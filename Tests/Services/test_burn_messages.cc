#include <doctest/doctest.h>

#include "LibBase/hash.h"
#include "LibObservability/burn_recorder.h"
#include "burn_messages.h"
#include "burn_tracker.h"

using namespace std::chrono_literals;
using observability::CombinedBurnReport;
using observability::EventCounts;
using observability::Objective;

namespace {

const base::TimePoint kStart = base::TimePoint() + 1000h;

// A sum over one balancer that lacks a second one.
CombinedBurnReport MakeBurn() {
  observability::BurnRecorder recorder;
  recorder.Record("portal", Objective::kRefusedOpenings, {3, 100}, kStart);
  recorder.Record("archive", Objective::kBrokenFlows, {1, 7}, kStart - 2h);
  CombinedBurnReport burn(recorder.Report(kStart), 1500ms);
  burn.AddMissingBalancer("entry-2");
  return burn;
}

}  // namespace

TEST_CASE("a burn report is unchanged by encoding and decoding its message") {
  const CombinedBurnReport burn = MakeBurn();

  const auto read = service::FromBurnReply(service::ToBurnReply(burn));

  REQUIRE(read);
  CHECK(read->report().services() == burn.report().services());
  CHECK(read->shortest_counting_time() == burn.shortest_counting_time());
  CHECK(RenderCoverage(*read) == RenderCoverage(burn));
}

TEST_CASE("an inconsistent burn reply is refused") {
  const peer::BurnReply valid = service::ToBurnReply(MakeBurn());
  peer::BurnReply other_counts = valid;
  other_counts.m_services[0].m_counts.pop_back();
  peer::BurnReply none_answered = valid;
  none_answered.m_answered = 0;
  peer::BurnReply too_many_answered = valid;
  too_many_answered.m_answered = 3;
  peer::BurnReply too_many_missing = valid;
  too_many_missing.m_missing.resize(2);

  CHECK(service::FromBurnReply(valid));
  CHECK_FALSE(service::FromBurnReply(other_counts));
  CHECK_FALSE(service::FromBurnReply(none_answered));
  CHECK_FALSE(service::FromBurnReply(too_many_answered));
  CHECK_FALSE(service::FromBurnReply(too_many_missing));
}

TEST_CASE("a service that is removed and added again is counted from zero") {
  const base::ServiceId id = base::MakeServiceId("portal");
  configuration::Document document;
  document.m_services.emplace_back().m_name = "portal";
  service::BurnTracker tracker(kStart);
  tracker.SetDocument(document);
  tracker.RecordCounts({{id, {.m_openings = 50, .m_refused = 4}}}, kStart);
  CHECK(tracker.OwnReport(kStart).report().services().contains("portal"));

  tracker.SetDocument({});
  tracker.RecordCounts({}, kStart);
  CHECK(tracker.OwnReport(kStart).report().services().empty());
  tracker.SetDocument(document);
  tracker.RecordCounts({{id, {.m_openings = 2, .m_refused = 1}}}, kStart);

  const auto report = tracker.OwnReport(kStart).report();
  CHECK(report.services().at("portal")[1].front() == EventCounts{1, 2});
}
