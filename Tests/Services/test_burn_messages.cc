#include <doctest/doctest.h>

#include "LibBase/hash.h"
#include "LibObservability/burn_recorder.h"
#include "burn_keeper.h"
#include "burn_messages.h"

using namespace std::chrono_literals;
using observability::CombinedBurn;
using observability::EventCounts;
using observability::Objective;

namespace {

const base::TimePoint kStart = base::TimePoint() + 1000h;

CombinedBurn MakeBurn() {
  observability::BurnRecorder recorder;
  recorder.Record("portal", Objective::kRefusedOpenings, {3, 100}, kStart);
  recorder.Record("archive", Objective::kBrokenFlows, {1, 7}, kStart - 2h);
  CombinedBurn burn(recorder.Report(kStart), 1500ms);
  burn.AddMissing("entry-2");
  return burn;
}

}  // namespace

TEST_CASE("a burn report survives its way between balancers") {
  const CombinedBurn burn = MakeBurn();

  const auto read = service::FromBurnReply(service::ToBurnReply(burn));

  REQUIRE(read);
  CHECK(read->report().services() == burn.report().services());
  CHECK(read->shortest_count() == burn.shortest_count());
  CHECK(RenderCoverage(*read) == RenderCoverage(burn));
}

TEST_CASE("a burn report that contradicts itself is refused") {
  const peer::BurnReply sound = service::ToBurnReply(MakeBurn());
  peer::BurnReply other_counts = sound;
  other_counts.m_services[0].m_counts.pop_back();
  peer::BurnReply nobody = sound;
  nobody.m_answered = 0;
  peer::BurnReply too_many = sound;
  too_many.m_answered = 3;
  peer::BurnReply too_many_missing = sound;
  too_many_missing.m_missing.resize(2);

  CHECK(service::FromBurnReply(sound));
  CHECK_FALSE(service::FromBurnReply(other_counts));
  CHECK_FALSE(service::FromBurnReply(nobody));
  CHECK_FALSE(service::FromBurnReply(too_many));
  CHECK_FALSE(service::FromBurnReply(too_many_missing));
}

TEST_CASE("a service that is removed and comes back is counted from zero") {
  const base::ServiceId id = base::MakeServiceId("portal");
  configuration::Document document;
  document.m_services.emplace_back().m_name = "portal";
  service::BurnKeeper keeper(kStart);
  keeper.SetDocument(document);
  keeper.Take({{id, {.m_openings = 50, .m_refused = 4}}}, kStart);
  CHECK(keeper.Own(kStart).report().services().contains("portal"));

  keeper.SetDocument({});
  keeper.Take({}, kStart);
  CHECK(keeper.Own(kStart).report().services().empty());
  keeper.SetDocument(document);
  keeper.Take({{id, {.m_openings = 2, .m_refused = 1}}}, kStart);

  const auto report = keeper.Own(kStart).report();
  CHECK(report.services().at("portal")[1].front() == EventCounts{1, 2});
}
