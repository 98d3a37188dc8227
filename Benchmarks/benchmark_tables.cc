// Measures the flow table at several sizes, the rendezvous order of a flow, and
// the set of balancers. Prints tables in Markdown.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <fmt/core.h>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/flow_key.h"
#include "LibFlow/flow_table.h"
#include "LibFlow/service_routing.h"

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLookups = 1'000'000;
constexpr std::size_t kTableBytes = std::size_t{256} << 20;
constexpr base::TimePoint kEpoch{1h};

// Returns the mean nanoseconds per call over `count` calls of `action`.
template <typename Action>
double MeanNanoseconds(std::size_t count, Action action) {
  const auto start = base::Clock::now();
  for (std::size_t call = 0; call < count; ++call)
    action(call);
  const std::chrono::duration<double, std::nano> time =
      base::Clock::now() - start;
  return time.count() / static_cast<double>(count);
}

std::vector<flow::FlowKey> MakeKeys(std::size_t count, base::Random& random) {
  constexpr base::Endpoint kService{base::Ipv4Address(0x7f400001), 443};
  std::vector<flow::FlowKey> keys;
  keys.reserve(count);
  for (std::size_t number = 0; number < count; ++number) {
    const auto address = static_cast<std::uint32_t>(random.Next());
    const auto port = static_cast<std::uint16_t>(random.Next());
    keys.push_back({{base::Ipv4Address(address), port}, kService});
  }
  return keys;
}

void MeasureFlowTable() {
  fmt::print("| flows | insert ns | find ns | miss ns | bytes per flow |\n");
  fmt::print("|---|---|---|---|---|\n");
  for (const std::size_t flows : {1'000U, 100'000U, 300'000U, 1'000'000U}) {
    base::Random random(1);
    const auto keys = MakeKeys(flows, random);
    const auto absent_keys = MakeKeys(flows, random);
    flow::FlowTable table(kEpoch, kTableBytes);
    const double insert = MeanNanoseconds(flows, [&](std::size_t call) {
      table.Insert(keys[call], flow::HashFlow(keys[call]), kEpoch,
                   [](const flow::FlowEntry&) {});
    });
    std::size_t found = 0;
    const double find = MeanNanoseconds(kLookups, [&](std::size_t call) {
      const flow::FlowKey& key = keys[call * 7919 % flows];
      found += table.Find(key, flow::HashFlow(key)) != nullptr ? 1 : 0;
    });
    const double miss = MeanNanoseconds(kLookups, [&](std::size_t call) {
      const flow::FlowKey& key = absent_keys[call * 7919 % flows];
      found += table.Find(key, flow::HashFlow(key)) != nullptr ? 1 : 0;
    });
    fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", table.size(),
               insert, find, miss,
               static_cast<double>(table.allocated_bytes()) /
                   static_cast<double>(table.size()));
    if (found < kLookups)
      fmt::print("flow table lookups found {} flows, expected at least {}\n",
                 found, kLookups);
  }
}

void MeasureRendezvousOrders() {
  fmt::print("\n| servers | order ns | first choice ns |\n|---|---|---|\n");
  for (const std::size_t count : {4U, 15U, 64U}) {
    base::Random random(1);
    std::vector<flow::RoutedServer> servers(count);
    for (flow::RoutedServer& server : servers)
      server.m_id = base::BackendServerId(random.Next());
    const flow::ServiceRouting routing(base::ServiceId(1), servers);
    std::uint64_t sum = 0;
    const double order = MeanNanoseconds(kLookups, [&](std::size_t) {
      sum += routing.OrderFor(random.Next()).front()->m_id.value();
    });
    const double first = MeanNanoseconds(kLookups, [&](std::size_t) {
      sum += routing.PreferredServer(random.Next())->m_id.value();
    });
    // Using the sum prevents the compiler from removing the loops.
    fmt::print("| {} | {:.0f} | {:.0f} |{}\n", count, order, first,
               sum == 0 ? " " : "");
  }
}

std::vector<flow::Balancer> MakeBalancers(std::size_t count,
                                          base::Random& random) {
  std::vector<flow::Balancer> balancers(count);
  for (flow::Balancer& balancer : balancers)
    balancer.m_id = base::BalancerId(random.Next());
  return balancers;
}

// Returns the greatest number of flows with the same home divided by the mean.
double GreatestShare(const flow::BalancerSet& set, base::Random& random) {
  std::unordered_map<base::BalancerId, std::size_t> flows_by_home;
  std::size_t greatest = 0;
  for (std::size_t flow = 0; flow < kLookups; ++flow)
    greatest =
        std::max(greatest, ++flows_by_home[set.HomeOf(random.Next()).m_id]);
  return static_cast<double>(greatest * set.balancers().size()) / kLookups;
}

// Returns the milliseconds of the fastest of kRuns runs.
template <typename Action>
double LeastMilliseconds(Action action) {
  constexpr int kRuns = 5;
  double least = MeanNanoseconds(1, action);
  for (int run = 1; run < kRuns; ++run)
    least = std::min(least, MeanNanoseconds(1, action));
  return least / 1e6;
}

void MeasureBalancers() {
  fmt::print(
      "\n| balancers | build ms | one added ms | one removed ms "
      "| one suspected ms | KB | home ns | search target ns "
      "| greatest share / mean |\n|---|---|---|---|---|---|---|---|---|\n");
  for (const std::size_t count : {7U, 70U, 1'071U}) {
    base::Random random(1);
    const auto balancers = MakeBalancers(count, random);
    const base::BalancerId self = balancers.front().m_id;
    const flow::BalancerSet set(self, balancers);
    auto joined = balancers;
    joined.push_back(MakeBalancers(1, random).front());
    const flow::BalancerSet after(self, joined);
    auto suspected = balancers;
    suspected.back().m_state = flow::BalancerState::kSuspected;

    const double build = LeastMilliseconds(
        [&](std::size_t) { const flow::BalancerSet rebuilt(self, balancers); });
    const double join = LeastMilliseconds(
        [&](std::size_t) { const flow::BalancerSet next(self, joined, set); });
    const double death = LeastMilliseconds([&](std::size_t) {
      const flow::BalancerSet next(self, balancers, after);
    });
    const double suspicion = LeastMilliseconds([&](std::size_t) {
      const flow::BalancerSet next(self, suspected, set);
    });
    std::uint64_t sum = 0;
    const double home = MeanNanoseconds(kLookups, [&](std::size_t) {
      sum += set.HomeOf(random.Next()).m_id.value();
    });
    const double search = MeanNanoseconds(kLookups, [&](std::size_t call) {
      sum += set.SearchTarget(random.Next(), call % 3)->m_id.value();
    });
    fmt::print(
        "| {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {} | {:.0f} | {:.0f}"
        " | {:.2f} |{}\n",
        count, build, join, death, suspicion, set.allocated_bytes() / 1024,
        home, search, GreatestShare(set, random), sum == 0 ? " " : "");
  }
}

}  // namespace

int main() {
  MeasureFlowTable();
  MeasureRendezvousOrders();
  MeasureBalancers();
  return 0;
}
