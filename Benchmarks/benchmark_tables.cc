// Measures the tables that a packet passes: the flow table at several sizes and
// the rendezvous order of a flow. Prints tables in Markdown.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <fmt/core.h>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibFlow/flow_table.h"
#include "LibFlow/service_routing.h"

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLookups = 1'000'000;
constexpr std::size_t kTableBytes = std::size_t{256} << 20;
constexpr base::TimePoint kEpoch{1h};

// Mean time of `count` calls of `action` in nanoseconds.
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
  fmt::print("| flows | insert ns | find ns | miss ns | bytes a flow |\n");
  fmt::print("|---|---|---|---|---|\n");
  for (const std::size_t flows : {1'000U, 100'000U, 300'000U, 1'000'000U}) {
    base::Random random(1);
    const auto keys = MakeKeys(flows, random);
    const auto others = MakeKeys(flows, random);
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
      const flow::FlowKey& key = others[call * 7919 % flows];
      found += table.Find(key, flow::HashFlow(key)) != nullptr ? 1 : 0;
    });
    fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", table.size(),
               insert, find, miss,
               static_cast<double>(table.allocated_bytes()) /
                   static_cast<double>(table.size()));
    if (found < kLookups)
      fmt::print("flows are missing: {} of {} found\n", found, kLookups);
  }
}

void MeasureOrders() {
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
      sum += routing.ExplainedServer(random.Next())->m_id.value();
    });
    // The sum keeps the loops from being optimised away.
    fmt::print("| {} | {:.0f} | {:.0f} |{}\n", count, order, first,
               sum == 0 ? " " : "");
  }
}

}  // namespace

int main() {
  MeasureFlowTable();
  MeasureOrders();
  return 0;
}
