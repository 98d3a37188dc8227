#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "LibBalancer/service_dispatcher.h"
#include "LibBase/hash.h"

using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kNow{1h};
constexpr flow::OpeningProgress kAfterRefusal{flow::OpeningReason::kRefused};

base::BackendServerId ServerId(int number) {
  return base::MakeBackendServerId("a", std::to_string(number), 1);
}

balancer::ServiceProfile MakeProfile(int servers, std::uint32_t slots) {
  balancer::ServiceProfile profile;
  profile.m_id = base::MakeServiceId("a");
  profile.m_placement =
      placement::MakePlacementSettings(placement::PlacementPreset::kEvenLoad);
  for (int number = 0; number < servers; ++number)
    profile.m_servers.push_back({ServerId(number), slots});
  return profile;
}

// A dispatcher with the routed servers of its profile.
struct Fixture {
  explicit Fixture(const balancer::ServiceProfile& profile)
      : m_dispatcher(profile, kNow) {
    for (const balancer::ServerProfile& server : profile.m_servers)
      m_servers.push_back({server.m_id, {}});
    for (const flow::RoutedServer& server : m_servers)
      m_order.push_back(&server);
  }

  const flow::RoutedServer* Choose(flow::OpeningProgress progress = {}) {
    return m_dispatcher.Choose(m_order, progress, m_random);
  }
  void RecordEvent(flow::FlowEventKind kind, base::BackendServerId server) {
    m_dispatcher.Observe({kind, base::MakeServiceId("a"), server, {}}, kNow);
  }
  // Sends `count` openings and returns how many were admitted.
  int Open(int count) {
    int sent = 0;
    for (; count > 0; --count) {
      if (const flow::RoutedServer* server = Choose()) {
        RecordEvent(flow::FlowEventKind::kOpeningSent, server->m_id);
        ++sent;
      }
    }
    return sent;
  }
  int OpenFlows(base::BackendServerId server) const {
    for (const placement::OpenFlowCount& count : m_dispatcher.OwnOpenFlows()) {
      if (count.m_server == server)
        return count.m_open_flows;
    }
    return -1;
  }

  balancer::ServiceDispatcher m_dispatcher;
  std::vector<flow::RoutedServer> m_servers;
  flow::ServerOrder m_order;
  base::Random m_random{1};
};

}  // namespace

TEST_CASE("a later profile changes the slots of a known server at once") {
  auto profile = MakeProfile(1, 2);
  Fixture fixture(profile);
  REQUIRE(fixture.m_dispatcher.load().TotalLoad().m_slots == 2);
  fixture.Open(1);

  profile.m_servers[0].m_slots = 8;
  fixture.m_dispatcher.Update(profile, kNow);

  CHECK(fixture.m_dispatcher.load().TotalLoad().m_slots == 8);
  CHECK(fixture.OpenFlows(ServerId(0)) == 1);
}

TEST_CASE("a later profile changes a server's connection limit at once") {
  auto profile = MakeProfile(1, 100);
  profile.m_servers[0].m_connection_limit = 2;
  Fixture fixture(profile);
  REQUIRE(fixture.Open(10) == 2);

  profile.m_servers[0].m_connection_limit = 5;
  fixture.m_dispatcher.Update(profile, kNow);

  CHECK(fixture.Open(10) == 3);
}

TEST_CASE("a later profile changes the settings of placement") {
  auto profile = MakeProfile(1, 10);
  Fixture fixture(profile);
  REQUIRE(fixture.m_dispatcher.load().Bound(ServerId(0)) == 10.0);

  profile.m_placement.m_load.m_bound_factor = 2.0;
  fixture.m_dispatcher.Update(profile, kNow);

  CHECK(fixture.m_dispatcher.load().Bound(ServerId(0)) == 20.0);
}

TEST_CASE("a later profile changes the settings of admission") {
  auto profile = MakeProfile(2, 100);
  profile.m_admission.m_service_connection_limit = 3;
  Fixture fixture(profile);
  REQUIRE(fixture.Open(10) == 3);

  profile.m_admission.m_service_connection_limit = 7;
  profile.m_admission.m_retry_budget.m_maximum_tokens = 0.0;
  fixture.m_dispatcher.Update(profile, kNow);

  CHECK(fixture.Open(10) == 4);
  CHECK(fixture.Choose(kAfterRefusal) == nullptr);
}

TEST_CASE("an opening skips servers that are at their connection limit") {
  for (const placement::PlacementPolicy& policy :
       {placement::PlacementPolicy(placement::FirstHash{}),
        placement::PlacementPolicy(placement::RoundRobin{}),
        placement::PlacementPolicy(placement::LeastReportedLoad{}),
        placement::PlacementPolicy(placement::BoundedWalk{})}) {
    auto profile = MakeProfile(4, 100);
    profile.m_placement.m_policy = policy;
    for (balancer::ServerProfile& server : profile.m_servers)
      server.m_connection_limit = 3;
    Fixture fixture(profile);

    CHECK(fixture.Open(30) == 12);

    for (int number = 0; number < 4; ++number)
      CHECK(fixture.OpenFlows(ServerId(number)) == 3);
  }
}

TEST_CASE("a retry spends the budget only if a server is chosen") {
  auto profile = MakeProfile(1, 100);
  profile.m_servers[0].m_connection_limit = 10;
  Fixture fixture(profile);
  // Twelve openings earn one retry; ten of them fill the server.
  REQUIRE(fixture.Open(12) == 10);
  REQUIRE(fixture.Choose(kAfterRefusal) == nullptr);

  fixture.RecordEvent(flow::FlowEventKind::kEnded, ServerId(0));

  CHECK(fixture.Choose(kAfterRefusal) != nullptr);
  CHECK(fixture.Choose(kAfterRefusal) == nullptr);
}

TEST_CASE("no server is chosen for a retry after the deadline of an opening") {
  auto profile = MakeProfile(1, 100);
  profile.m_opening_deadline = 2s;
  Fixture fixture(profile);
  fixture.Open(20);

  const auto refused = flow::OpeningReason::kRefused;
  CHECK(fixture.Choose({refused, 1999ms}) != nullptr);
  CHECK(fixture.Choose({refused, 2s}) == nullptr);
}

TEST_CASE("an unanswered opening is not counted as refused") {
  Fixture fixture(MakeProfile(1, 100));
  REQUIRE(fixture.Choose({flow::OpeningReason::kUnanswered}) == nullptr);
  CHECK(fixture.m_dispatcher.counts().m_refused == 0);
  REQUIRE(fixture.Choose(kAfterRefusal) == nullptr);
  CHECK(fixture.m_dispatcher.counts().m_refused == 1);
}

TEST_CASE("the open flows of a removed server are no longer reported") {
  auto profile = MakeProfile(2, 100);
  Fixture fixture(profile);
  fixture.RecordEvent(flow::FlowEventKind::kOpeningSent, ServerId(0));
  fixture.RecordEvent(flow::FlowEventKind::kOpeningSent, ServerId(1));

  profile.m_servers.erase(profile.m_servers.begin());
  fixture.m_dispatcher.Update(profile, kNow);
  fixture.RecordEvent(flow::FlowEventKind::kEnded, ServerId(0));

  REQUIRE(fixture.m_dispatcher.OwnOpenFlows().size() == 1);
  CHECK(fixture.OpenFlows(ServerId(1)) == 1);
}

TEST_CASE("ends of flows that other balancers opened make no count negative") {
  Fixture fixture(MakeProfile(1, 100));

  fixture.RecordEvent(flow::FlowEventKind::kEnded, ServerId(0));

  CHECK(fixture.OpenFlows(ServerId(0)) == 0);
}
