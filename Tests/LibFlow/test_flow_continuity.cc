// Several directors together: flows that were opened before a change of
// servers, configuration or balancers continue after the change.

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

std::vector<std::uint64_t> AddBalancers(flow::FlowSimulation& simulation,
                                        int count) {
  std::vector<std::uint64_t> balancers;
  balancers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    balancers.push_back(simulation.AddBalancer());
  return balancers;
}

std::vector<flow::FlowKey> OpenFlows(flow::FlowSimulation& simulation,
                                     std::uint8_t service,
                                     int count) {
  std::vector<flow::FlowKey> flows;
  flows.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    const auto key = simulation.Open(service);
    REQUIRE(key);
    flows.push_back(*key);
  }
  return flows;
}

int CountBroken(flow::FlowSimulation& simulation,
                const std::vector<flow::FlowKey>& flows) {
  int broken = 0;
  for (const flow::FlowKey& key : flows)
    broken += simulation.Exchange(key) ? 0 : 1;
  return broken;
}

}  // namespace

TEST_CASE("no flow breaks while servers are added, drained and removed") {
  flow::FlowSimulation simulation({.m_seed = 11});
  simulation.SetServers(kPortal, Servers(1, 15));
  AddBalancers(simulation, kBalancers);
  const auto flows = OpenFlows(simulation, kPortal, kFlows);

  simulation.SetServers(kPortal, Servers(1, 16));
  simulation.PublishToAll();
  CHECK(CountBroken(simulation, flows) == 0);
  simulation.SetServers(kPortal, Servers(3, 14), {1, 2});
  simulation.PublishToAll();
  CHECK(CountBroken(simulation, flows) == 0);
  simulation.SetServers(kPortal, Servers(3, 14));
  simulation.PublishToAll();
  CHECK(CountBroken(simulation, flows) == 0);
}

TEST_CASE(
    "no flow breaks while balancers have different configuration versions") {
  flow::FlowSimulation simulation({.m_seed = 12});
  simulation.SetServers(kPortal, Servers(1, 15));
  const auto balancers = AddBalancers(simulation, kBalancers);
  auto flows = OpenFlows(simulation, kPortal, kFlows);
  simulation.SetServers(kPortal, Servers(2, 16), {1});

  for (const std::uint64_t balancer : balancers) {
    simulation.PublishTo(balancer);
    const auto more = OpenFlows(simulation, kPortal, kFlows / kBalancers);
    flows.insert(flows.end(), more.begin(), more.end());
    CHECK(CountBroken(simulation, flows) == 0);
  }
}

TEST_CASE("removing a balancer breaks neither answered nor unanswered flows") {
  flow::FlowSimulation simulation({.m_seed = 13});
  simulation.SetServers(kPortal, Servers(1, 15));
  const auto balancers = AddBalancers(simulation, kBalancers);
  const auto silent = OpenFlows(simulation, kPortal, kFlows);
  const auto active = OpenFlows(simulation, kPortal, kFlows);
  CHECK(CountBroken(simulation, active) == 0);

  simulation.KillBalancer(balancers[2]);
  CHECK(CountBroken(simulation, active) == 0);
  simulation.KillBalancer(balancers[4]);
  CHECK(CountBroken(simulation, silent) == 0);
  CHECK(CountBroken(simulation, active) == 0);
}

TEST_CASE("no flow breaks while every balancer is replaced in turn") {
  for (std::uint64_t seed = 14; seed < 24; ++seed) {
    CAPTURE(seed);
    flow::FlowSimulation simulation({.m_seed = seed});
    simulation.SetServers(kPortal, Servers(1, 15));
    const auto balancers = AddBalancers(simulation, kBalancers);
    const auto flows = OpenFlows(simulation, kPortal, kFlows);

    for (const std::uint64_t balancer : balancers) {
      simulation.KillBalancer(balancer);
      simulation.AddBalancer();
      CHECK(CountBroken(simulation, flows) == 0);
      CHECK(simulation.counts().m_lost == 0);
      CHECK(simulation.counts().m_broken == 0);
    }
  }
}

TEST_CASE(
    "without probes, removing a balancer breaks flows that no other knows") {
  flow::FlowSimulation::Options options{.m_seed = 13};
  options.m_settings.m_mechanisms.m_probe = false;
  flow::FlowSimulation simulation(options);
  simulation.SetServers(kPortal, Servers(1, 15));
  const auto balancers = AddBalancers(simulation, kBalancers);
  const auto silent = OpenFlows(simulation, kPortal, kFlows);

  simulation.KillBalancer(balancers[2]);

  CHECK(CountBroken(simulation, silent) > 0);
}

TEST_CASE("services that swap servers never get packets of each other") {
  flow::FlowSimulation simulation({.m_seed = 15});
  simulation.SetServers(kPortal, Servers(1, 4));
  simulation.SetServers(kArchive, Servers(5, 4));
  AddBalancers(simulation, kBalancers);
  auto flows = OpenFlows(simulation, kPortal, kFlows);
  const auto archive = OpenFlows(simulation, kArchive, kFlows);
  CountBroken(simulation, flows);

  simulation.SetServers(kPortal, Servers(5, 4));
  simulation.SetServers(kArchive, Servers(1, 4));
  simulation.PublishToAll();
  CountBroken(simulation, flows);
  CountBroken(simulation, archive);
  simulation.Advance(seconds(4));

  CHECK(simulation.Open(kPortal));
  CHECK(simulation.Open(kArchive));
  CHECK(simulation.counts().m_misdelivered == 0);
}

TEST_CASE("a caller gets a reset for a flow that no server has any more") {
  flow::FlowSimulation simulation({.m_seed = 16});
  simulation.SetServers(kPortal, Servers(1, 15));
  AddBalancers(simulation, kBalancers);
  const auto flows = OpenFlows(simulation, kPortal, 20);
  for (const flow::FlowKey& key : flows)
    simulation.Close(key);
  simulation.Advance(seconds(60));

  for (const flow::FlowKey& key : flows)
    CHECK_FALSE(simulation.Exchange(key, 100));

  CHECK(simulation.counts().m_broken == flows.size());
}
