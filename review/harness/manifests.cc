// Changes of the manifest.

#include <cstdint>
#include <string>
#include <vector>

#include "cases.h"

namespace review {

namespace {

const std::vector<std::string> kZones = {"hall-1", "hall-1", "hall-1",
                                         "hall-2", "hall-2", "hall-3"};
constexpr std::uint32_t kRoute = 1;
constexpr std::uint32_t kDroppedRoute = 2;
constexpr std::int64_t kSettlingMs = 8000;

void AddServers(Scenario& scenario) {
  for (const char* zone : {"hall-1", "hall-1", "hall-2", "hall-2", "hall-3"})
    scenario.AddServer(kPortal, zone);
  scenario.AddServer(kArchive, "hall-1");
}

}  // namespace

int RunManifestStorm(const ScenarioOptions& options, std::uint32_t network) {
  // About 980,000 bytes; `value_bytes` is 1,048,576.
  constexpr std::uint32_t kIdleRoutes = 5500;
  constexpr std::int64_t kRequestsPerSecond = 20;
  // The storm of the site's day trouble-1: 2 s with 80 ms between manifests.
  constexpr int kManifests = 24;
  constexpr std::int64_t kGapMs = 80;
  constexpr std::int64_t kWatchedMs = 15'000;
  Scenario scenario(options, network, kZones);
  AddServers(scenario);
  const RouteSpec kept{kRoute, kPortal, "non_idempotent"};
  const RouteSpec dropped{kDroppedRoute, kPortal, "non_idempotent"};
  scenario.PutManifest({kept, dropped}, kIdleRoutes);
  scenario.WaitUntilReady();
  scenario.StartRequests(kRoute, kRequestsPerSecond);
  scenario.StartRequests(kDroppedRoute, kRequestsPerSecond);
  scenario.RunFor(kSettlingMs);
  for (int i = 0; scenario.HasTrouble() && i < kManifests; ++i) {
    scenario.PutManifest({kept, dropped}, kIdleRoutes - 1 - i % 2);
    scenario.RunFor(kGapMs);
  }
  scenario.PutManifest({kept}, kIdleRoutes);
  scenario.RunFor(kWatchedMs);
  return scenario.Finish();
}

int RunAddedRoute(const ScenarioOptions& options, std::uint32_t network) {
  // The site's roll_term, and its config_storm of 4 s with 330 ms between
  // manifests.
  constexpr std::int64_t kRestartGapMs = 2500;
  constexpr std::int64_t kStormEveryMs = 5500;
  constexpr int kManifests = 12;
  constexpr std::int64_t kGapMs = 330;
  // Each new route gets flows with requests 30 ms apart.
  constexpr std::int64_t kOpeningGapMs = 8;
  constexpr int kOpenings = 40;
  constexpr int kRequestsOfAFlow = 10;
  constexpr std::int64_t kPauseMs = 30;
  constexpr std::int64_t kWatchedMs = 85'000;
  Scenario scenario(options, network, kZones);
  AddServers(scenario);
  std::vector<RouteSpec> routes = {{kRoute, kPortal}};
  scenario.PutManifest(routes);
  scenario.WaitUntilReady();
  scenario.RunFor(kSettlingMs);
  const auto add_route = [&scenario, &routes] {
    const auto route = static_cast<std::uint32_t>(routes.size()) + 1;
    routes.push_back({route, kPortal});
    scenario.PutManifest(routes);
    for (int i = 0; i < kOpenings; ++i)
      scenario.loop().After(i * kOpeningGapMs, [&scenario, route, i] {
        scenario.requesters().Open(RouteAddress(route),
                                   "hall-" + std::to_string(i % 2 + 1),
                                   kRequestsOfAFlow, kPauseMs);
      });
  };
  scenario.loop().Every(kStormEveryMs, [&scenario, add_route] {
    for (int i = 0; i < kManifests; ++i)
      scenario.loop().After(i * kGapMs, add_route);
  });
  if (scenario.HasTrouble())
    scenario.loop().Every(kRestartGapMs, [&scenario, turn = 0U]() mutable {
      scenario.platform().Restart(turn++ %
                                  static_cast<std::uint32_t>(kZones.size()));
    });
  scenario.RunFor(kWatchedMs);
  return scenario.Finish();
}

}  // namespace review
