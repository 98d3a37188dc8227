// Properties of the placement policies after random sequences of load events.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <vector>

#include "LibPlacement/load_view_fixture.h"
#include "LibPlacement/placement_policy.h"
#include "property.h"

using namespace std::chrono_literals;
using namespace placement;

namespace {

constexpr std::uint64_t kServers = 8;

// Applies one random event of the type that `kind` selects.
void ApplyStep(LoadViewFixture& fixture,
               std::uint8_t kind,
               std::uint8_t number,
               std::uint8_t amount) {
  const auto server = MakeServerId(number % kServers);
  switch (kind % 10) {
    case 0:
      return fixture.ReportLoad(number % kServers, amount % 6, amount * 5ms);
    case 1:
      return fixture.Apply(ServerDraining{server});
    case 2:
      return fixture.Apply(ServerDrainCancelled{server});
    case 3:
      return fixture.Apply(HealthReported{
          server, amount % 2 == 0 ? Health::kUnhealthy : Health::kHealthy});
    case 4:
      return fixture.RefuseOpening(number % kServers);
    case 5:
      return fixture.Apply(FlowEnded{server});
    case 6:
      return fixture.Apply(
          amount % 2 == 0 ? LoadEvent(OpeningAccepted{server})
                          : LoadEvent(AnswerStarted{server, amount * 10ms}));
    case 7:
      return fixture.AdvanceTime(amount * 4ms);
    case 8: {
      const std::vector<OpenFlowCount> counts{{server, amount % 8 - 2}};
      return fixture.Apply(PeerOpenFlowCounts{counts});
    }
    default:
      return fixture.Apply(OpeningSent{server});
  }
}

using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

LoadViewFixture FixtureAfterSteps(const std::vector<Step>& steps) {
  LoadViewFixture fixture(kServers);
  for (const auto& [kind, number, amount] : steps)
    ApplyStep(fixture, kind, number, amount);
  fixture.AdvanceTime(1ms);
  return fixture;
}

bool IsHealthy(const ServerStatus& status) {
  return !status.m_is_draining && !status.m_is_ejected_or_unhealthy;
}

std::vector<PlacementPolicy> AllPolicies() {
  BoundedWalk all;
  all.m_candidates = BoundedWalk::kAllCandidates;
  BoundedWalk least = all;
  least.m_utilisation_margin = 0.0;
  return {FirstHash{},   RoundRobin{}, LeastReportedLoad{},
          BoundedWalk{}, all,          least};
}

}  // namespace

TEST_CASE(
    "no policy chooses a draining server, or an ejected or unhealthy one while "
    "another is healthy") {
  CHECK(testing::HoldsForAll("eligibility", [](const std::vector<Step>& steps) {
    LoadViewFixture fixture = FixtureAfterSteps(steps);
    const bool has_healthy =
        std::ranges::any_of(fixture.m_view.Servers(), IsHealthy);
    for (PlacementPolicy policy : AllPolicies()) {
      const auto chosen =
          Choose(policy, fixture.m_order, fixture.m_view, fixture.m_random);
      if (!chosen)
        continue;
      const ServerStatus& status = *fixture.m_view.Find(*chosen);
      RC_ASSERT(!status.m_is_draining);
      RC_ASSERT(!has_healthy || !status.m_is_ejected_or_unhealthy);
    }
  }));
}

TEST_CASE(
    "a bounded walk chooses no full server while another candidate is not "
    "full") {
  CHECK(testing::HoldsForAll("bound", [](const std::vector<Step>& steps) {
    LoadViewFixture fixture = FixtureAfterSteps(steps);
    const bool is_any_free = std::ranges::any_of(
        fixture.m_view.Servers(), [](const ServerStatus& status) {
          return IsHealthy(status) && !status.IsFull();
        });
    for (const double margin : {0.0, 0.34, BoundedWalk::kUnlimitedMargin}) {
      BoundedWalk walk;
      walk.m_candidates = BoundedWalk::kAllCandidates;
      walk.m_utilisation_margin = margin;
      PlacementPolicy policy = walk;
      const auto chosen =
          Choose(policy, fixture.m_order, fixture.m_view, fixture.m_random);
      if (is_any_free)
        RC_ASSERT(chosen && !fixture.m_view.Find(*chosen)->IsFull());
    }
  }));
}

TEST_CASE("request estimates are never below zero and bounds never below one") {
  CHECK(testing::HoldsForAll("ranges", [](const std::vector<Step>& steps) {
    const LoadViewFixture fixture = FixtureAfterSteps(steps);
    for (const ServerStatus& status : fixture.m_view.Servers()) {
      RC_ASSERT(status.m_estimated_requests >= 0.0);
      RC_ASSERT(status.m_bound >= 1.0);
    }
  }));
}
