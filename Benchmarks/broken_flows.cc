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
// Packets per flow after the topology change, each at a random balancer.
constexpr int kExchangesPerFlow = 6;

std::vector<std::uint8_t> NumberRange(std::uint8_t first, std::uint8_t count) {
  std::vector<std::uint8_t> numbers;
  for (std::uint8_t number = 0; number < count; ++number)
    numbers.push_back(static_cast<std::uint8_t>(first + number));
  return numbers;
}

flow::FlowSimulation::Options OptionsFor(BalancerVariant variant,
                                         std::uint64_t seed) {
  flow::FlowSimulation::Options options{.m_seed = seed};
  flow::Mechanisms& mechanisms = options.m_settings.m_mechanisms;
  if (variant == BalancerVariant::kProduct)
    return options;
  mechanisms.m_relay_to_home = false;
  mechanisms.m_probe = false;
  if (variant == BalancerVariant::kHashOnly) {
    mechanisms.m_learn_from_answers = false;
    mechanisms.m_reopen_on_refusal = false;
    options.m_candidates = 1;
  }
  return options;
}

void ApplyChange(flow::FlowSimulation& simulation,
                 const std::vector<std::uint64_t>& balancers,
                 TopologyChange change) {
  switch (change) {
    case TopologyChange::kNone:
      break;
    case TopologyChange::kServerAdded:
      simulation.SetServers(kService, NumberRange(1, kServers + 1));
      simulation.PublishToAll();
      break;
    case TopologyChange::kServerDrained:
      simulation.SetServers(kService, NumberRange(2, kServers - 1), {1});
      simulation.PublishToAll();
      break;
    case TopologyChange::kBalancerKilled:
      simulation.KillBalancer(balancers[2]);
      break;
    case TopologyChange::kBalancerStarted:
      simulation.AddBalancer();
      break;
    case TopologyChange::kServerAddedAndBalancerKilled:
      simulation.SetServers(kService, NumberRange(1, kServers + 1));
      for (std::size_t position = 0; position < kBalancers / 2; ++position)
        simulation.PublishTo(balancers[position]);
      simulation.KillBalancer(balancers[kBalancers - 1]);
      break;
  }
}

int CountInSimulation(BalancerVariant variant,
                      TopologyChange change,
                      std::uint64_t seed) {
  flow::FlowSimulation simulation(OptionsFor(variant, seed));
  simulation.SetServers(kService, NumberRange(1, kServers));
  std::vector<std::uint64_t> balancers;
  balancers.reserve(kBalancers);
  for (int number = 0; number < kBalancers; ++number)
    balancers.push_back(simulation.AddBalancer());
  std::vector<flow::FlowKey> flows;
  flows.reserve(kFlowsOpened);
  while (flows.size() < kFlowsOpened) {
    if (const auto key = simulation.Open(kService))
      flows.push_back(*key);
  }

  ApplyChange(simulation, balancers, change);

  return static_cast<int>(std::ranges::count_if(flows, [&](const auto& key) {
    for (int exchange = 0; exchange < kExchangesPerFlow; ++exchange) {
      if (!simulation.Exchange(key))
        return true;
    }
    return false;
  }));
}

// Every balancer has only a list of the active servers.
int CountModulo(TopologyChange change, std::uint64_t seed) {
  const auto before = NumberRange(1, kServers);
  std::vector<std::vector<std::uint8_t>> lists(kBalancers, before);
  switch (change) {
    case TopologyChange::kNone:
      break;
    case TopologyChange::kServerAdded:
      std::ranges::fill(lists, NumberRange(1, kServers + 1));
      break;
    case TopologyChange::kServerDrained:
      std::ranges::fill(lists, NumberRange(2, kServers - 1));
      break;
    case TopologyChange::kBalancerKilled:
      lists.pop_back();
      break;
    case TopologyChange::kBalancerStarted:
      lists.push_back(before);
      break;
    case TopologyChange::kServerAddedAndBalancerKilled:
      lists.pop_back();
      std::fill_n(lists.begin(), kBalancers / 2, NumberRange(1, kServers + 1));
      break;
  }
  base::Random random(seed);
  int broken = 0;
  for (int flow = 0; flow < kFlowsOpened; ++flow) {
    const std::uint64_t hash = random.Next();
    bool is_broken = false;
    for (int exchange = 0; exchange < kExchangesPerFlow; ++exchange) {
      const auto& list = lists[random.Below(lists.size())];
      is_broken |= list[hash % list.size()] != before[hash % before.size()];
    }
    broken += is_broken ? 1 : 0;
  }
  return broken;
}

}  // namespace

int CountBrokenFlows(BalancerVariant variant,
                     TopologyChange change,
                     std::uint64_t seed) {
  return variant == BalancerVariant::kHashModulo
             ? CountModulo(change, seed)
             : CountInSimulation(variant, change, seed);
}

}  // namespace benchmark
