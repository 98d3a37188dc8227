// A small deployment: machines in three zones, a store, servers of two services
// and requesters. Checks the rules ROUTE, DRAIN, FLOW and CONFIG and the count
// of processes that end by themselves, as RULES.md states them.

#ifndef REVIEW_HARNESS_SCENARIO_H_
#define REVIEW_HARNESS_SCENARIO_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "loop.h"
#include "network.h"
#include "platform.h"
#include "record.h"
#include "requesters.h"
#include "server.h"
#include "store.h"

namespace review {

inline constexpr const char* kPortal = "medlemsportal";
inline constexpr const char* kArchive = "aktarkiv";

// The bounds of the settings.
inline constexpr std::int64_t kDrainMs = 3000;
inline constexpr std::int64_t kConfigApplyMs = 3000;
inline constexpr std::int64_t kStableWindowMs = 4000;

struct ScenarioOptions {
  // False: the same run without the disruption.
  bool m_has_trouble = true;
  std::string m_program;
  std::string m_folder;
  std::string m_record;
};

struct RouteSpec {
  std::uint32_t m_index = 0;
  std::string m_service;
  std::string m_kind = "idempotent";
};

class Scenario {
 public:
  // One machine for each entry of `zones`. Throws if the network number is in
  // use.
  Scenario(const ScenarioOptions& options,
           std::uint32_t network,
           const std::vector<std::string>& zones);

  // Queries.
  bool HasTrouble() const { return m_options.m_has_trouble; }
  Loop& loop() { return m_loop; }
  Store& store() { return *m_store; }
  Platform& platform() { return *m_platform; }
  Requesters& requesters() { return *m_requesters; }
  Record& record() { return m_record; }
  const Network& network() const { return m_network; }

  // Commands.
  // Adds a server that is ready, and returns its number. Its address is that of
  // the former server `former` if there is one.
  std::uint32_t AddServer(const std::string& service,
                          const std::string& zone,
                          std::optional<std::uint32_t> former = std::nullopt);
  // The server announces that it drains, keeps serving for `serves_ms`, and
  // leaves.
  void Drain(std::uint32_t server, std::int64_t serves_ms);
  // Writes a manifest. `padding` routes that see no traffic follow the others.
  void PutManifest(const std::vector<RouteSpec>& routes,
                   std::uint32_t padding = 0);
  // Waits until all machines are ready; throws if they don't become so.
  void WaitUntilReady();
  void RunFor(std::int64_t milliseconds);
  // Opens `per_second` flows a second with one request each to a route.
  void StartRequests(std::uint32_t route, std::int64_t per_second);
  // The machine is out of touch from now on until stable_window_ms after
  // `milliseconds`.
  void Disturb(std::uint32_t machine, std::int64_t milliseconds);
  // Writes a summary and returns the exit status of the case.
  int Finish();

 private:
  struct RouteState {
    std::set<std::string> m_services;
    std::optional<std::int64_t> m_dropped_at;
  };

  bool IsInTouch(base::Ipv4Address machine, std::int64_t now) const;
  void OnOpening(const Server& server,
                 const flow::FlowKey& flow,
                 base::Ipv4Address machine);
  void OnRun(const Server& server, const std::string& request);
  void OnReset(const flow::FlowKey& flow,
               std::optional<base::Ipv4Address> machine,
               bool was_open);

  ScenarioOptions m_options;
  Network m_network;
  Loop m_loop;
  Record m_record;
  std::unique_ptr<Store> m_store;
  std::unique_ptr<Platform> m_platform;
  std::unique_ptr<Requesters> m_requesters;
  std::map<std::uint32_t, std::unique_ptr<Server>> m_servers;
  std::uint32_t m_next_server = 0;
  std::uint64_t m_next_version = 7;
  std::map<base::Endpoint, RouteState> m_routes;
  // By the server's id: when the store acknowledged that it drains.
  std::map<std::string, std::int64_t> m_draining;
  std::map<base::Ipv4Address, std::int64_t> m_out_of_touch_until;
  std::set<std::string> m_run;
};

}  // namespace review

#endif  // REVIEW_HARNESS_SCENARIO_H_
