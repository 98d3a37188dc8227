#include "broken_flows.h"

#include <algorithm>
#include <vector>

#include "LibBase/random.h"
#include "LibFlow/flow_simulation.h"

namespace benchmark {

namespace {

constexpr std::uint8_t kService = 1;
constexpr std::uint8_t kServers = 15;
constexpr int kBalancers = 6;
// Packets of a flow after the change, each at a random balancer.
constexpr int kExchanges = 6;

std::vector<std::uint8_t> Numbers(std::uint8_t first, std::uint8_t count) {
  std::vector<std::uint8_t> numbers;
  for (std::uint8_t number = 0; number < count; ++number)
    numbers.push_back(static_cast<std::uint8_t>(first + number));
  return numbers;
}

flow::FlowSimulation::Options OptionsOf(BalancerVariant contender,
                                        std::uint64_t seed) {
  flow::FlowSimulation::Options options{.m_seed = seed};
  flow::Mechanisms& mechanisms = options.m_settings.m_mechanisms;
  if (contender == BalancerVariant::kProduct)
    return options;
  mechanisms.m_relay_to_home = false;
  mechanisms.m_probe = false;
  if (contender == BalancerVariant::kHashOnly) {
    mechanisms.m_learn_from_answers = false;
    mechanisms.m_reopen_on_refusal = false;
    options.m_candidates = 1;
  }
  return options;
}

void Change(flow::FlowSimulation& world,
            const std::vector<std::uint64_t>& balancers,
            TopologyChange change) {
  switch (change) {
    case TopologyChange::kNone:
      break;
    case TopologyChange::kServerAdded:
      world.SetServers(kService, Numbers(1, kServers + 1));
      world.PublishToAll();
      break;
    case TopologyChange::kServerDrained:
      world.SetServers(kService, Numbers(2, kServers - 1), {1});
      world.PublishToAll();
      break;
    case TopologyChange::kBalancerKilled:
      world.KillBalancer(balancers[2]);
      break;
    case TopologyChange::kBalancerStarted:
      world.AddBalancer();
      break;
    case TopologyChange::kServerAddedAndBalancerKilled:
      world.SetServers(kService, Numbers(1, kServers + 1));
      for (std::size_t position = 0; position < kBalancers / 2; ++position)
        world.PublishTo(balancers[position]);
      world.KillBalancer(balancers[kBalancers - 1]);
      break;
  }
}

int CountInWorld(BalancerVariant contender,
                 TopologyChange change,
                 std::uint64_t seed) {
  flow::FlowSimulation world(OptionsOf(contender, seed));
  world.SetServers(kService, Numbers(1, kServers));
  std::vector<std::uint64_t> balancers;
  balancers.reserve(kBalancers);
  for (int number = 0; number < kBalancers; ++number)
    balancers.push_back(world.AddBalancer());
  std::vector<flow::FlowKey> flows;
  flows.reserve(kFlowsOpened);
  while (flows.size() < kFlowsOpened) {
    if (const auto key = world.Open(kService))
      flows.push_back(*key);
  }

  Change(world, balancers, change);

  return static_cast<int>(std::ranges::count_if(flows, [&](const auto& key) {
    for (int exchange = 0; exchange < kExchanges; ++exchange) {
      if (!world.Exchange(key))
        return true;
    }
    return false;
  }));
}

// Every balancer holds a list of the active servers and nothing else.
int CountModulo(TopologyChange change, std::uint64_t seed) {
  const auto before = Numbers(1, kServers);
  std::vector<std::vector<std::uint8_t>> lists(kBalancers, before);
  switch (change) {
    case TopologyChange::kNone:
      break;
    case TopologyChange::kServerAdded:
      std::ranges::fill(lists, Numbers(1, kServers + 1));
      break;
    case TopologyChange::kServerDrained:
      std::ranges::fill(lists, Numbers(2, kServers - 1));
      break;
    case TopologyChange::kBalancerKilled:
      lists.pop_back();
      break;
    case TopologyChange::kBalancerStarted:
      lists.push_back(before);
      break;
    case TopologyChange::kServerAddedAndBalancerKilled:
      lists.pop_back();
      std::fill_n(lists.begin(), kBalancers / 2, Numbers(1, kServers + 1));
      break;
  }
  base::Random random(seed);
  int broken = 0;
  for (int flow = 0; flow < kFlowsOpened; ++flow) {
    const std::uint64_t hash = random.Next();
    bool is_broken = false;
    for (int exchange = 0; exchange < kExchanges; ++exchange) {
      const auto& list = lists[random.Below(lists.size())];
      is_broken |= list[hash % list.size()] != before[hash % before.size()];
    }
    broken += is_broken ? 1 : 0;
  }
  return broken;
}

}  // namespace

int CountBrokenFlows(BalancerVariant contender,
                     TopologyChange change,
                     std::uint64_t seed) {
  return contender == BalancerVariant::kHashModulo
             ? CountModulo(change, seed)
             : CountInWorld(contender, change, seed);
}

}  // namespace benchmark
