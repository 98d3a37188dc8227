// Entries of kind `servers` that come from another writer.

#include <iostream>
#include <string>
#include <vector>

#include "cases.h"

namespace review {

namespace {

const std::vector<std::string> kZones = {"hall-1", "hall-1", "hall-2",
                                         "hall-3"};
constexpr std::uint32_t kRoute = 1;
constexpr std::int64_t kRequestsPerSecond = 25;
constexpr std::int64_t kSettlingMs = 6000;
// Fits `value_bytes` of the settings, 1,048,576.
constexpr std::size_t kNestingDepth = 400'000;
// RULES.md, Fault.
constexpr int kEndsOfAFault = 3;
constexpr int kMachinesOfAFault = 2;

void StartDeployment(Scenario& scenario) {
  for (const char* zone : {"hall-1", "hall-1", "hall-2", "hall-2", "hall-3"})
    scenario.AddServer(kPortal, zone);
  scenario.PutManifest({{kRoute, kPortal, "non_idempotent"}});
  scenario.WaitUntilReady();
  scenario.StartRequests(kRoute, kRequestsPerSecond);
  scenario.RunFor(kSettlingMs);
}

// An entry with one field that `field` gives as JSON text.
void PutForeignEntry(Scenario& scenario,
                     const std::string& field,
                     const std::string& value) {
  scenario.store().Put(
      "servers", "inventory-test",
      "{\"backend\":\"inventory\",\"" + field + "\":" + value + "}");
  scenario.record().Write("entry", "another writer puts an entry whose " +
                                       field + " has " +
                                       std::to_string(value.size()) + " bytes");
}

}  // namespace

int RunNestedEntry(const ScenarioOptions& options, std::uint32_t network) {
  constexpr std::int64_t kWatchedMs = 20'000;
  Scenario scenario(options, network, kZones);
  StartDeployment(scenario);
  if (scenario.HasTrouble())
    PutForeignEntry(
        scenario, "address",
        std::string(kNestingDepth, '[') + std::string(kNestingDepth, ']'));
  else
    PutForeignEntry(scenario, "address", "[[]]");
  scenario.RunFor(kWatchedMs);
  int machines = 0;
  for (std::uint32_t i = 0; i < kZones.size(); ++i) {
    if (scenario.platform().OwnEnds(i) >= kEndsOfAFault)
      ++machines;
  }
  if (machines >= kMachinesOfAFault)
    scenario.record().WriteBreach(
        "Fault", std::to_string(machines) +
                     " machines' processes ended by themselves three times");
  return scenario.Finish();
}

int RunUnreadableEntry(const ScenarioOptions& options, std::uint32_t network) {
  // The server serves drain_ms "and a little longer (at times many seconds)".
  constexpr std::int64_t kServesMs = 10'000;
  Scenario scenario(options, network, kZones);
  StartDeployment(scenario);
  // An escaped surrogate without its second half is well-formed JSON.
  PutForeignEntry(scenario, "note",
                  scenario.HasTrouble() ? R"("well 7 \ud83d")" : R"("well 7")");
  scenario.RunFor(kSettlingMs);
  scenario.Drain(0, kServesMs);
  scenario.RunFor(kServesMs + kSettlingMs);
  return scenario.Finish();
}

int RunIncompleteEntry(const ScenarioOptions& options, std::uint32_t network) {
  constexpr std::int64_t kServesMs = 4000;
  // `addr_reuse_s` of the settings, and a second more.
  constexpr std::int64_t kReuseMs = 3000;
  constexpr std::int64_t kWatchedMs = 10'000;
  constexpr std::uint32_t kLeaving = 0;
  Scenario scenario(options, network, kZones);
  StartDeployment(scenario);
  scenario.Drain(kLeaving, kServesMs);
  scenario.RunFor(kServesMs + kReuseMs);
  // The address of the server that has left goes to another service.
  scenario.AddServer(kArchive, "hall-1", kLeaving);
  scenario.RunFor(kSettlingMs);
  if (scenario.HasTrouble()) {
    scenario.store().Put(
        "servers", "i-00000000",
        R"({"backend":")" + std::string(kPortal) + R"(","address":")" +
            ToString(scenario.network().Server(kLeaving)) +
            R"(","zone":"hall-1","max_concurrency":3,"state":"ready",)"
            R"("warmup_left_ms":0})");
    scenario.record().Write("entry",
                            "another writer puts an entry without version, "
                            "seq and born");
  }
  scenario.RunFor(kWatchedMs);
  return scenario.Finish();
}

}  // namespace review
