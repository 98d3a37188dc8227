// Several directors together: flows that were opened before a change go on
// after it.

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "LibFlow/flow_simulation.h"

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint8_t kPortal = 1;
constexpr std::uint8_t kArchive = 2;
constexpr int kBalancers = 6;
constexpr int kFlows = 600;

std::vector<std::uint8_t> Servers(std::uint8_t first, std::uint8_t count) {
  std::vector<std::uint8_t> servers;
  servers.reserve(count);
  for (std::uint8_t i = 0; i < count; ++i)
    servers.push_back(static_cast<std::uint8_t>(first + i));
  return servers;
}

std::vector<std::uint64_t> AddBalancers(flow::FlowSimulation& world,
                                        int count) {
  std::vector<std::uint64_t> balancers;
  balancers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    balancers.push_back(world.AddBalancer());
  return balancers;
}

std::vector<flow::FlowKey> OpenFlows(flow::FlowSimulation& world,
                                     std::uint8_t service,
                                     int count) {
  std::vector<flow::FlowKey> flows;
  flows.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    const auto key = world.Open(service);
    REQUIRE(key);
    flows.push_back(*key);
  }
  return flows;
}

int CountBroken(flow::FlowSimulation& world,
                const std::vector<flow::FlowKey>& flows) {
  int broken = 0;
  for (const flow::FlowKey& key : flows)
    broken += world.Exchange(key) ? 0 : 1;
  return broken;
}

}  // namespace

TEST_CASE("flows stay whole while servers are added, drained and removed") {
  flow::FlowSimulation world({.m_seed = 11});
  world.SetServers(kPortal, Servers(1, 15));
  AddBalancers(world, kBalancers);
  const auto flows = OpenFlows(world, kPortal, kFlows);

  world.SetServers(kPortal, Servers(1, 16));
  world.PublishToAll();
  CHECK(CountBroken(world, flows) == 0);
  world.SetServers(kPortal, Servers(3, 14), {1, 2});
  world.PublishToAll();
  CHECK(CountBroken(world, flows) == 0);
  world.SetServers(kPortal, Servers(3, 14));
  world.PublishToAll();
  CHECK(CountBroken(world, flows) == 0);
}

TEST_CASE("flows stay whole while balancers have different versions") {
  flow::FlowSimulation world({.m_seed = 12});
  world.SetServers(kPortal, Servers(1, 15));
  const auto balancers = AddBalancers(world, kBalancers);
  auto flows = OpenFlows(world, kPortal, kFlows);
  world.SetServers(kPortal, Servers(2, 16), {1});

  for (const std::uint64_t balancer : balancers) {
    world.PublishTo(balancer);
    const auto more = OpenFlows(world, kPortal, kFlows / kBalancers);
    flows.insert(flows.end(), more.begin(), more.end());
    CHECK(CountBroken(world, flows) == 0);
  }
}

TEST_CASE("a killed balancer breaks no flow, answered before or not") {
  flow::FlowSimulation world({.m_seed = 13});
  world.SetServers(kPortal, Servers(1, 15));
  const auto balancers = AddBalancers(world, kBalancers);
  const auto silent = OpenFlows(world, kPortal, kFlows);
  const auto active = OpenFlows(world, kPortal, kFlows);
  CHECK(CountBroken(world, active) == 0);

  world.KillBalancer(balancers[2]);
  CHECK(CountBroken(world, active) == 0);
  world.KillBalancer(balancers[4]);
  CHECK(CountBroken(world, silent) == 0);
  CHECK(CountBroken(world, active) == 0);
}

TEST_CASE("flows stay whole while every balancer is replaced in turn") {
  for (std::uint64_t seed = 14; seed < 24; ++seed) {
    CAPTURE(seed);
    flow::FlowSimulation world({.m_seed = seed});
    world.SetServers(kPortal, Servers(1, 15));
    const auto balancers = AddBalancers(world, kBalancers);
    const auto flows = OpenFlows(world, kPortal, kFlows);

    for (const std::uint64_t balancer : balancers) {
      world.KillBalancer(balancer);
      world.AddBalancer();
      CHECK(CountBroken(world, flows) == 0);
      CHECK(world.counts().m_lost == 0);
      CHECK(world.counts().m_broken == 0);
    }
  }
}

TEST_CASE("without probes a killed balancer breaks flows nobody had seen") {
  flow::FlowSimulation::Options options{.m_seed = 13};
  options.m_settings.m_mechanisms.m_probe = false;
  flow::FlowSimulation world(options);
  world.SetServers(kPortal, Servers(1, 15));
  const auto balancers = AddBalancers(world, kBalancers);
  const auto silent = OpenFlows(world, kPortal, kFlows);

  world.KillBalancer(balancers[2]);

  CHECK(CountBroken(world, silent) > 0);
}

TEST_CASE("services that swap servers never get each other's packets") {
  flow::FlowSimulation world({.m_seed = 15});
  world.SetServers(kPortal, Servers(1, 4));
  world.SetServers(kArchive, Servers(5, 4));
  AddBalancers(world, kBalancers);
  auto flows = OpenFlows(world, kPortal, kFlows);
  const auto archive = OpenFlows(world, kArchive, kFlows);
  CountBroken(world, flows);

  world.SetServers(kPortal, Servers(5, 4));
  world.SetServers(kArchive, Servers(1, 4));
  world.PublishToAll();
  CountBroken(world, flows);
  CountBroken(world, archive);
  world.Advance(seconds(4));

  CHECK(world.Open(kPortal));
  CHECK(world.Open(kArchive));
  CHECK(world.counts().m_foreign == 0);
}

TEST_CASE("a caller hears of a flow that no server has any more") {
  flow::FlowSimulation world({.m_seed = 16});
  world.SetServers(kPortal, Servers(1, 15));
  AddBalancers(world, kBalancers);
  const auto flows = OpenFlows(world, kPortal, 20);
  for (const flow::FlowKey& key : flows)
    world.Close(key);
  world.Advance(seconds(60));

  for (const flow::FlowKey& key : flows)
    CHECK_FALSE(world.Exchange(key, 100));

  CHECK(world.counts().m_broken == flows.size());
}
