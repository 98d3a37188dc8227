// Simulates the load of the busiest days on one data centre: servers with three
// slots and queues, and requests at random times. Placement by least cost must
// answer nearly all requests in time, and clearly more than random placement.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "LibBase/random.h"
#include "LibSteering/opening_placer.h"
#include "LibSteering/server_directory.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr int kServers = 4;
constexpr double kProcessingMs = 55;
constexpr std::uint32_t kSlots = 3;
constexpr int kRequests = 20'000;
constexpr double kLimitMs = 250;

enum class Choice { kLeastCost, kRandom };

// The share of requests that are answered within kLimitMs. Each request is an
// opening. Requests arrive at random times, and their rate keeps `utilisation`
// of the servers' slots busy.
double ShareServedInTime(Choice choice, double utilisation) {
  ServerDirectory directory;
  for (int i = 0; i < kServers; ++i)
    directory.Apply(MakeServer("i-" + std::to_string(i)), At(0));
  const auto& servers = directory.ServersOf("portal");
  OpeningPlacer placer(PlacementPolicy(), base::DataCentreId("here"));
  base::Random random(11);

  // When each slot is free again, and the requests in progress by their ends.
  std::map<KnownServer*, std::vector<double>> free_at;
  for (KnownServer* server : servers)
    free_at[server].assign(kSlots, 0.0);
  using End = std::pair<double, KnownServer*>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  const double rate_per_ms = utilisation * kServers * kSlots / kProcessingMs;
  double now_ms = 0;
  int in_time = 0;
  for (int i = 0; i < kRequests; ++i) {
    now_ms += -std::log(1.0 - random.Unit()) / rate_per_ms;
    for (; !ends.empty() && ends.top().first <= now_ms; ends.pop())
      --ends.top().second->m_requests_in_progress;
    KnownServer* server =
        choice == Choice::kRandom
            ? servers[random.Below(servers.size())]
            : placer.Place(servers, nullptr, random, At(0))->m_server;
    auto slot =
        std::min_element(free_at[server].begin(), free_at[server].end());
    const double processing_ms = kProcessingMs * (0.5 + random.Unit());
    *slot = std::max(*slot, now_ms) + processing_ms;
    ++server->m_requests_in_progress;
    ends.push({*slot, server});
    in_time += *slot - now_ms <= kLimitMs ? 1 : 0;
  }
  return static_cast<double>(in_time) / kRequests;
}

}  // namespace

TEST_CASE(
    "with nine tenths of the slots busy nearly all requests are in time") {
  const double least_cost = ShareServedInTime(Choice::kLeastCost, 0.9);
  const double at_random = ShareServedInTime(Choice::kRandom, 0.9);

  CHECK(least_cost > 0.97);
  CHECK(least_cost > at_random + 0.05);
}

}  // namespace steering
