#include <doctest/doctest.h>

#include <chrono>
#include <set>

#include "LibPlacement/load_view_fixture.h"
#include "LibPlacement/placement_policy.h"
#include "LibPlacement/placement_preset.h"

using namespace std::chrono_literals;
using namespace placement;

namespace {

std::optional<base::BackendServerId> ChooseOnce(LoadViewFixture& fixture,
                                                PlacementPolicy policy) {
  return Choose(policy, fixture.m_order, fixture.m_view, fixture.m_random);
}

}  // namespace

TEST_CASE(
    "first hash chooses the first server of the order regardless of its load") {
  LoadViewFixture fixture(3);
  fixture.ReportLoad(0, 9);

  CHECK(ChooseOnce(fixture, FirstHash{}) == MakeServerId(0));
}

TEST_CASE(
    "round robin chooses each server in turn and skips draining servers") {
  LoadViewFixture fixture(4);
  fixture.Apply(ServerDraining{MakeServerId(2)});
  PlacementPolicy policy = RoundRobin{};

  std::set<base::BackendServerId> chosen;
  for (int turn = 0; turn < 3; ++turn) {
    chosen.insert(
        *Choose(policy, fixture.m_order, fixture.m_view, fixture.m_random));
  }

  CHECK(chosen.size() == 3);
  CHECK_FALSE(chosen.contains(MakeServerId(2)));
}

TEST_CASE("least reported load chooses the server with the lowest report") {
  LoadViewFixture fixture(3);
  fixture.ReportLoad(0, 2);
  fixture.ReportLoad(1, 1);
  fixture.ReportLoad(2, 2);

  CHECK(ChooseOnce(fixture, LeastReportedLoad{}) == MakeServerId(1));
}

TEST_CASE(
    "a bounded walk with an unlimited margin chooses the first candidate that "
    "is not full") {
  LoadViewFixture fixture(4);
  fixture.ReportLoad(0, 3);
  fixture.ReportLoad(1, 2);

  CHECK(ChooseOnce(fixture, BoundedWalk{}) == MakeServerId(1));
}

TEST_CASE(
    "a bounded walk skips servers whose utilisation exceeds the least loaded "
    "candidate's by more than the margin") {
  LoadViewFixture fixture(3);
  fixture.ReportLoad(0, 2);
  fixture.ReportLoad(1, 1);
  BoundedWalk walk;

  walk.m_utilisation_margin = 0.0;
  CHECK(ChooseOnce(fixture, walk) == MakeServerId(2));
  walk.m_utilisation_margin = 0.4;
  CHECK(ChooseOnce(fixture, walk) == MakeServerId(1));
  walk.m_utilisation_margin = 0.7;
  CHECK(ChooseOnce(fixture, walk) == MakeServerId(0));
}

TEST_CASE(
    "when all candidates are full, a bounded walk follows its setting for that "
    "case") {
  LoadViewFixture fixture(4);
  fixture.ReportLoad(0, 5);
  fixture.ReportLoad(1, 4);
  fixture.ReportLoad(2, 6);
  BoundedWalk walk;

  CHECK(ChooseOnce(fixture, walk) == MakeServerId(1));
  walk.m_when_all_full = WhenAllFull::kRefuse;
  CHECK_FALSE(ChooseOnce(fixture, walk));
}

TEST_CASE(
    "a server that reports draining is not chosen until it reports healthy") {
  LoadViewFixture fixture(2);
  for (const std::uint64_t number : {0, 1})
    fixture.Apply(HealthReported{MakeServerId(number), Health::kDraining});
  CHECK_FALSE(ChooseOnce(fixture, BoundedWalk{}));

  fixture.Apply(HealthReported{MakeServerId(1), Health::kHealthy});

  CHECK(ChooseOnce(fixture, BoundedWalk{}) == MakeServerId(1));
}

TEST_CASE("no policy chooses a server when every server drains") {
  LoadViewFixture fixture(2);
  fixture.Apply(ServerDraining{MakeServerId(0)});
  fixture.Apply(ServerDraining{MakeServerId(1)});

  for (const PlacementPolicy& policy :
       {PlacementPolicy(FirstHash{}), PlacementPolicy(RoundRobin{}),
        PlacementPolicy(LeastReportedLoad{}), PlacementPolicy(BoundedWalk{})})
    CHECK_FALSE(ChooseOnce(fixture, policy));
}
