#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <set>

#include "LibBalancer/traffic_core.h"
#include "LibBase/hash.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/routing_table.h"

using std::chrono::seconds;

namespace {

const base::Endpoint kService{base::Ipv4Address(200), 443};
constexpr std::uint32_t kSlots = 2;
constexpr int kServers = 4;

base::BackendServerId ServerId(int number) {
  return base::MakeBackendServerId("a", std::to_string(number), 1);
}

// Makes the core of the only balancer of a data centre, with four servers of
// two slots each.
std::unique_ptr<balancer::TrafficCore> MakeCore(base::TimePoint now) {
  auto core =
      std::make_unique<balancer::TrafficCore>(flow::FlowSettings{}, 1, now);
  flow::ServiceDefinition definition{base::MakeServiceId("a"), kService, {}};
  balancer::ServiceProfile profile;
  profile.m_id = definition.m_id;
  profile.m_placement =
      placement::MakePlacementSettings(placement::PlacementPreset::kEvenLoad);
  for (int number = 1; number <= kServers; ++number) {
    definition.m_servers.push_back(
        {ServerId(number),
         {base::Ipv4Address(static_cast<std::uint32_t>(number)), 5555}});
    profile.m_servers.push_back({ServerId(number), kSlots});
  }
  core->SetBalancers(std::make_shared<flow::BalancerSet>(
      base::BalancerId(1),
      std::vector<flow::Balancer>{{base::BalancerId(1), {}}}));
  core->SetConfiguration(
      flow::RoutingTable::Build(base::ConfigurationVersion(1), {&definition, 1},
                                nullptr, now, seconds(3)),
      {&profile, 1}, now);
  core->SetLease(now + seconds(3600));
  return core;
}

flow::Effects Open(balancer::TrafficCore& core,
                   std::uint16_t port,
                   base::TimePoint now) {
  const std::vector<std::uint8_t> bytes(40);
  return core.HandleCallerPacket({{{base::Ipv4Address(9), port}, kService},
                                  flow::CallerPacketKind::kOpening,
                                  1,
                                  {},
                                  bytes},
                                 now);
}

}  // namespace

TEST_CASE("openings fill the slots of all servers before any server queues") {
  const base::TimePoint now;
  auto core = MakeCore(now);
  std::multiset<base::Endpoint> chosen;

  for (std::uint16_t port = 1; port <= kServers * kSlots; ++port) {
    const auto effects = Open(*core, port, now);
    REQUIRE(effects.size() == 1);
    chosen.insert(std::get<flow::ForwardToServer>(effects[0]).m_tunnel);
  }

  for (const base::Endpoint& tunnel : chosen)
    CHECK(chosen.count(tunnel) == kSlots);
}

TEST_CASE("openings far beyond the slots are refused, not queued") {
  const base::TimePoint now;
  auto core = MakeCore(now);
  int refused = 0;

  for (std::uint16_t port = 1; port <= 100; ++port) {
    const auto effects = Open(*core, port, now);
    refused += std::holds_alternative<flow::RefuseOpening>(effects[0]) ? 1 : 0;
  }

  CHECK(refused >= 100 - 4 * kServers * static_cast<int>(kSlots));
  CHECK(refused < 100);
}

TEST_CASE("packets before the first configuration are dropped") {
  const base::TimePoint now;
  balancer::TrafficCore core({}, 1, now);
  core.SetLease(now + seconds(1));
  const flow::ServerPacket answer{
      .m_key = {{base::Ipv4Address(9), 1}, kService}};

  for (const flow::Effects& effects :
       {Open(core, 1, now), core.HandleServerPacket(answer, now)}) {
    REQUIRE(effects.size() == 1);
    CHECK(std::holds_alternative<flow::Drop>(effects[0]));
  }
}

TEST_CASE("connections held open without requests cause no refusals") {
  const base::TimePoint now;
  auto core = MakeCore(now);
  const auto report = [&core](int server, std::uint32_t busy,
                              base::TimePoint at) {
    placement::LoadReported reported;
    reported.m_server = ServerId(server);
    reported.m_busy = busy;
    reported.m_slots = kSlots;
    core->ApplyLoad(base::MakeServiceId("a"), reported, at);
  };
  int refused = 0;

  for (std::uint16_t port = 1; port <= 500; ++port) {
    const base::TimePoint at = now + std::chrono::milliseconds(25 * port);
    for (int server = 1; server <= kServers; ++server)
      report(server, 0, at);
    const auto effects = Open(*core, port, at);
    refused += std::holds_alternative<flow::RefuseOpening>(effects[0]) ? 1 : 0;
  }

  CHECK(refused == 0);
}
