// One soak: balancers, the store, backend servers and callers, and the changes
// that the operators and the platform make.

#ifndef TESTS_SOAK_SOAK_HARNESS_H_
#define TESTS_SOAK_SOAK_HARNESS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "StandIns/event_loop.h"
#include "claim_checker.h"
#include "deployment_profile.h"
#include "edge_fleet.h"
#include "invariant_checker.h"
#include "network.h"
#include "route_prober.h"
#include "soak_caller.h"
#include "soak_server.h"
#include "store_stand_in.h"

namespace soak {

struct SoakOptions {
  Network m_network;
  DeploymentProfile m_profile;
  // Routes without callers, to make the manifest larger.
  std::uint32_t m_idle_routes = 0;
  std::uint64_t m_seed = 1;
  std::uint32_t m_edges = 4;
  std::uint32_t m_servers = 10;
  std::uint32_t m_callers = 24;
  // The path of the balancers' executable.
  std::string m_program = EDGE_PROGRAM;
  // The directory of the settings files and logs.
  std::string m_directory;
};

class SoakHarness {
 public:
  explicit SoakHarness(const SoakOptions& options);
  SoakHarness(const SoakHarness&) = delete;
  SoakHarness& operator=(const SoakHarness&) = delete;

  // Queries.
  const InvariantChecker& checker() const { return m_checker; }
  const RouteProber& prober() const { return *m_prober; }
  const ClaimChecker& claims() const { return *m_claims; }
  std::uint32_t Edges() const { return m_fleet->size(); }
  std::uint32_t Servers() const { return m_options.m_servers; }

  // Commands.
  // Runs the event loop for `length`.
  void Run(base::Duration length);
  // Starts the callers, which open flows from now on.
  void StartCallers();
  EdgeFleet& fleet() { return *m_fleet; }
  stand_ins::EventLoop& loop() { return m_loop; }
  void DisturbEdge(std::uint32_t edge, base::Duration length);
  void DisturbStore(base::Duration length);

  // Marks a server as draining. After kDrainTime the server ends, and another
  // server starts at its address.
  void DrainServer(std::uint32_t index);
  // Ends a server at once. With kSameName the server starts again under its
  // name; with kOtherService its entry expires and a server of the other
  // service starts at its address.
  enum class AfterCrash { kOtherService, kSameName };
  void CrashServer(std::uint32_t index, AfterCrash kind);
  // Delays a server's answers for `length`. Balancers must keep its flows.
  void SlowServer(std::uint32_t index, base::Duration length);
  // Makes the store fail for `length`. With `expires_entries`, the entries of
  // all servers expire too, and the servers register again afterwards.
  void FailStore(StoreFault fault, base::Duration length, bool expires_entries);
  // The store is away for a moment and comes back from a copy that is `age`
  // old. The operator and the servers then write again what they wrote.
  void RestoreStore(base::Duration age);
  void CompactStore();
  // Evacuates a data centre for `length`; the index may exceed their number.
  void Evacuate(std::uint32_t data_centre, base::Duration length);
  // Writes a server entry that the balancers cannot parse.
  void PutForeignEntry();
  void AddRoute();
  void DropRoute();
  // Drops a route and writes it back after `absence`.
  void ReturnRoute(base::Duration absence);
  // Writes a manifest that differs from the last one in a timeout only.
  void ChangeTimeout();
  void SendGarbage(std::uint32_t edge);

 private:
  struct LiveRoute {
    base::Endpoint m_address;
    std::string m_service;
  };

  void StartServer(std::uint32_t index,
                   const std::string& service,
                   const std::string& name = {});
  void Register(std::uint32_t index);
  // Removes the entries of servers that don't run.
  void ExpireEntries();
  // Writes the evacuations again that a restored store lacks, and removes those
  // that have ended.
  void WriteEvacuations();
  void WriteManifest();
  // Removes a random route from the manifest, if enough others remain.
  std::optional<LiveRoute> RemoveRoute();
  base::Endpoint PickRoute();
  void Schedule(base::Duration delay, std::function<void()> action);

  SoakOptions m_options;
  base::Random m_random;
  stand_ins::EventLoop m_loop;
  InvariantChecker m_checker;
  StoreStandIn m_store;
  std::vector<std::unique_ptr<SoakServer>> m_servers;
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  std::vector<LiveRoute> m_routes;
  std::set<std::string> m_evacuated;
  std::uint64_t m_version = 0;
  int m_route_timeout_ms = 1500;
  std::string m_manifest;
  std::uint16_t m_next_port = 1000;
  std::unique_ptr<EdgeFleet> m_fleet;
  std::unique_ptr<RouteProber> m_prober;
  std::unique_ptr<ClaimChecker> m_claims;
};

}  // namespace soak

#endif  // TESTS_SOAK_SOAK_HARNESS_H_
