#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "LibPlacement/load_view_fixture.h"

using namespace std::chrono_literals;
using namespace placement;

TEST_CASE(
    "openings and ends of flows since a load report was measured correct the "
    "estimate") {
  LoadViewFixture fixture(1);
  fixture.Apply(OpeningSent{MakeServerId(0)});
  fixture.AdvanceTime(1s);
  fixture.Apply(OpeningSent{MakeServerId(0)});
  fixture.Apply(OpeningSent{MakeServerId(0)});
  fixture.AdvanceTime(100ms);

  fixture.ReportLoad(0, 1, 500ms);
  CHECK(fixture.Status(0).m_estimated_requests == doctest::Approx(3.0));

  fixture.Apply(FlowEnded{MakeServerId(0)});
  CHECK(fixture.Status(0).m_estimated_requests == doctest::Approx(2.0));
}

TEST_CASE("a load report measured earlier does not replace a newer one") {
  LoadViewFixture fixture(1);
  fixture.ReportLoad(0, 2, 100ms);

  fixture.ReportLoad(0, 0, 400ms);

  CHECK(fixture.Status(0).m_estimated_requests == doctest::Approx(2.0));
}

TEST_CASE(
    "an idle report of a server to which peers have open flows does not lower "
    "the estimate to zero") {
  LoadViewFixture fixture(5);
  std::vector<OpenFlowCount> counts;
  for (std::uint64_t number = 0; number < 5; ++number)
    counts.push_back({MakeServerId(number), 4});
  fixture.Apply(PeerOpenFlowCounts{counts});
  fixture.AdvanceTime(200ms);
  for (std::uint64_t number = 1; number < 5; ++number)
    fixture.ReportLoad(number, 4);

  fixture.ReportLoad(0, 0);
  fixture.AdvanceTime(1ms);

  CHECK(fixture.Status(0).m_estimated_requests >= 1.0);
}

TEST_CASE("idle reports after refusals lose credibility") {
  LoadViewFixture fixture(3);
  for (int repeat = 0; repeat < 4; ++repeat) {
    fixture.RefuseOpening(0);
    fixture.AdvanceTime(300ms);
    fixture.ReportLoad(0, 0);
    fixture.ReportLoad(1, 3);
  }
  for (int flow = 0; flow < 4; ++flow)
    fixture.Apply(OpeningSent{MakeServerId(0)});
  fixture.AdvanceTime(200ms);

  fixture.ReportLoad(0, 0);

  CHECK(fixture.Status(0).m_estimated_requests > 3.0);
}

TEST_CASE("a cold server's bound grows over the slow start window") {
  LoadViewFixture fixture(1);
  fixture.Apply(ServerAdded{MakeServerId(9), 10, 0, ServerStart::kCold});
  const double at_start = fixture.Status(9).m_bound;
  fixture.AdvanceTime(5s);
  const double halfway = fixture.Status(9).m_bound;
  fixture.AdvanceTime(5s);

  CHECK(at_start < halfway);
  CHECK(halfway < fixture.Status(9).m_bound);
  CHECK(fixture.Status(9).m_bound == doctest::Approx(10.0));
}

TEST_CASE(
    "a server counts as full after a refusal until a report measured later or "
    "the end of the refusal hold") {
  LoadViewFixture fixture(2);
  fixture.RefuseOpening(0);
  fixture.RefuseOpening(1);
  CHECK(fixture.Status(0).IsFull());

  fixture.AdvanceTime(200ms);
  fixture.ReportLoad(0, 0, 50ms);
  fixture.ReportLoad(1, 0, 300ms);
  CHECK_FALSE(fixture.Status(0).IsFull());
  CHECK(fixture.Status(1).IsFull());

  fixture.AdvanceTime(300ms);
  CHECK_FALSE(fixture.Status(1).IsFull());
}

TEST_CASE("a server at its connection limit is full") {
  LoadViewFixture fixture(1);
  fixture.Apply(ServerAdded{MakeServerId(9), 3, 2, ServerStart::kWarm});
  fixture.Apply(LoadReported{MakeServerId(9), 0, 0, 3, 1, 2, 0ms});
  CHECK_FALSE(fixture.Status(9).IsFull());

  fixture.AdvanceTime(1ms);
  fixture.Apply(OpeningSent{MakeServerId(9)});

  CHECK(fixture.Status(9).IsFull());
}

TEST_CASE(
    "a server that refuses far more openings than its peers is ejected, for "
    "longer each time") {
  LoadViewFixture fixture(10);
  const auto refuse_until_ejected = [&fixture] {
    for (int repeat = 0; repeat < 6; ++repeat)
      fixture.RefuseOpening(0);
    fixture.AdvanceTime(1ms);
    CHECK(fixture.Status(0).m_is_ejected_or_unhealthy);
  };
  const auto pass_until_returned = [&fixture] {
    base::Duration passed{};
    while (fixture.Status(0).m_is_ejected_or_unhealthy && passed < 60s) {
      fixture.AdvanceTime(100ms);
      passed += 100ms;
    }
    return passed;
  };

  refuse_until_ejected();
  const base::Duration first = pass_until_returned();
  fixture.AdvanceTime(11s);
  refuse_until_ejected();
  const base::Duration second = pass_until_returned();

  CHECK(first >= 3s);
  CHECK(first <= 4s);
  CHECK(second >= 6s);
  CHECK(second <= 8s);
}

TEST_CASE("a server that answers far slower than its peers is ejected") {
  LoadViewFixture fixture(10);
  for (int repeat = 0; repeat < 6; ++repeat) {
    for (std::uint64_t number = 0; number < 10; ++number) {
      fixture.Apply(OpeningSent{MakeServerId(number)});
      fixture.Apply(
          AnswerStarted{MakeServerId(number), number == 0 ? 2000ms : 100ms});
    }
  }
  fixture.AdvanceTime(1ms);

  CHECK(fixture.Status(0).m_is_ejected_or_unhealthy);
  CHECK_FALSE(fixture.Status(1).m_is_ejected_or_unhealthy);
}

TEST_CASE(
    "overload of all servers ejects none, and at most the maximum share of "
    "servers is ejected") {
  LoadViewFixture overloaded(10);
  LoadViewFixture partly_refusing(10);
  for (int repeat = 0; repeat < 10; ++repeat) {
    for (std::uint64_t number = 0; number < 10; ++number) {
      overloaded.RefuseOpening(number);
      if (number < 4)
        partly_refusing.RefuseOpening(number);
      else
        partly_refusing.Apply(OpeningAccepted{MakeServerId(number)});
    }
  }
  overloaded.AdvanceTime(1ms);
  partly_refusing.AdvanceTime(1ms);

  std::size_t ejected_of_overloaded = 0;
  std::size_t ejected_of_partly_refusing = 0;
  for (std::uint64_t number = 0; number < 10; ++number) {
    ejected_of_overloaded +=
        overloaded.Status(number).m_is_ejected_or_unhealthy ? 1 : 0;
    ejected_of_partly_refusing +=
        partly_refusing.Status(number).m_is_ejected_or_unhealthy ? 1 : 0;
  }

  CHECK(ejected_of_overloaded == 0);
  CHECK(ejected_of_partly_refusing == 2);
}

TEST_CASE("health probes that report most servers as unhealthy are ignored") {
  LoadViewFixture fixture(4);
  fixture.Apply(HealthReported{MakeServerId(0), Health::kUnhealthy});
  fixture.Apply(HealthReported{MakeServerId(1), Health::kUnhealthy});
  CHECK(fixture.Status(0).m_is_ejected_or_unhealthy);

  fixture.Apply(HealthReported{MakeServerId(2), Health::kUnhealthy});

  CHECK_FALSE(fixture.Status(0).m_is_ejected_or_unhealthy);
}

TEST_CASE("events about removed servers are ignored") {
  LoadViewFixture fixture(2);
  fixture.Apply(ServerRemoved{MakeServerId(0)});

  fixture.Apply(OpeningSent{MakeServerId(0)});
  fixture.ReportLoad(0, 3);

  CHECK(fixture.m_view.Find(MakeServerId(0)) == nullptr);
  CHECK(fixture.m_view.Servers().size() == 1);
  CHECK(fixture.Status(1).m_estimated_requests == 0.0);
}

TEST_CASE(
    "a flow end counted here before the peers' count of its opening arrives "
    "leaves the sum correct") {
  LoadViewFixture fixture(1);
  fixture.Apply(FlowEnded{MakeServerId(0)});
  const std::vector<OpenFlowCount> counts{{MakeServerId(0), 3}};

  fixture.Apply(PeerOpenFlowCounts{counts});

  CHECK(fixture.m_view.OwnOpenFlows(MakeServerId(0)) == -1);
  CHECK(fixture.Status(0).m_estimated_requests == doctest::Approx(2.0));
}

TEST_CASE("new settings and slots take effect and keep the recorded load") {
  LoadViewFixture fixture(1);
  fixture.ReportLoad(0, 3);
  CHECK(fixture.Status(0).IsFull());

  LoadSettings settings;
  settings.m_bound_factor = 2.0;
  fixture.m_view.SetSettings(settings, fixture.m_now);
  CHECK_FALSE(fixture.Status(0).IsFull());

  fixture.Apply(ServerAdded{MakeServerId(0), 1, 0, ServerStart::kWarm});
  CHECK(fixture.Status(0).m_estimated_requests == doctest::Approx(3.0));
  CHECK(fixture.Status(0).IsFull());
}
