// The store is silent to a third of the machines: those that read it for the
// others.

#include <set>
#include <string>
#include <vector>

#include "cases.h"

namespace review {

namespace {

const std::vector<std::string> kZones = {"hall-1", "hall-1", "hall-1",
                                         "hall-2", "hall-2", "hall-2",
                                         "hall-3", "hall-3", "hall-3"};
const std::vector<const char*> kServerZones = {"hall-1", "hall-2", "hall-3",
                                               "hall-1", "hall-2", "hall-3"};
constexpr std::uint32_t kRoute = 1;
constexpr std::uint32_t kDroppedRoute = 2;
constexpr std::int64_t kRequestsPerSecond = 100;
constexpr std::int64_t kSettlingMs = 10'000;
constexpr int kCycles = 5;
// The site's longest platform_down for some machines, and its largest share.
constexpr std::int64_t kSilentMs = 9000;
constexpr std::size_t kSilentMachines = 3;
constexpr std::int64_t kDropAfterMs = 50;
constexpr std::int64_t kWatchedMs = 10'000;
constexpr std::int64_t kRestMs = 6000;

// The machines that read the store: those whose watch is open at some moment.
std::set<std::uint32_t> FindReaders(Scenario& scenario) {
  constexpr int kLooks = 40;
  constexpr std::int64_t kLookMs = 25;
  std::set<std::uint32_t> readers;
  for (int i = 0; i < kLooks; ++i) {
    readers.merge(scenario.store().WatchingMachines());
    scenario.RunFor(kLookMs);
  }
  return readers;
}

}  // namespace

int RunReadersCutOff(const ScenarioOptions& options, std::uint32_t network) {
  Scenario scenario(options, network, kZones);
  for (const char* zone : kServerZones)
    scenario.AddServer(kPortal, zone);
  const RouteSpec kept{kRoute, kPortal, "non_idempotent"};
  const RouteSpec dropped{kDroppedRoute, kPortal, "non_idempotent"};
  scenario.PutManifest({kept, dropped});
  scenario.WaitUntilReady();
  scenario.StartRequests(kDroppedRoute, kRequestsPerSecond);
  scenario.RunFor(kSettlingMs);
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    const std::set<std::uint32_t> readers = FindReaders(scenario);
    std::string names;
    for (const std::uint32_t reader : readers)
      names += " " + std::to_string(reader);
    scenario.record().Write("readers", names);
    std::size_t silent = 0;
    for (const std::uint32_t reader : readers) {
      if (!scenario.HasTrouble() || silent++ == kSilentMachines)
        break;
      scenario.store().SetCut(reader, true);
      scenario.Disturb(reader, kSilentMs);
      scenario.record().Write("silent",
                              "the store to machine " + std::to_string(reader));
      scenario.loop().After(kSilentMs, [&scenario, reader] {
        scenario.store().SetCut(reader, false);
        scenario.record().Write("healed", "machine " + std::to_string(reader));
      });
    }
    scenario.RunFor(kDropAfterMs);
    scenario.PutManifest({kept});
    scenario.RunFor(kWatchedMs);
    scenario.PutManifest({kept, dropped});
    scenario.RunFor(kRestMs);
  }
  return scenario.Finish();
}

}  // namespace review
