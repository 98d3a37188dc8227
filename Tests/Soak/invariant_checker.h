// Checks the balancers' invariants against the events that callers and backend
// servers observe.

#ifndef TESTS_SOAK_INVARIANT_CHECKER_H_
#define TESTS_SOAK_INVARIANT_CHECKER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "deployment_profile.h"

namespace soak {

class InvariantChecker {
 public:
  explicit InvariantChecker(const DeploymentProfile& profile);

  // Queries.
  base::Duration ChangeDeadline() const { return m_change_deadline; }
  const std::vector<std::string>& Violations() const { return m_violations; }
  std::uint64_t Served() const { return m_served; }
  std::uint64_t Failed() const { return m_failed; }
  // Of the requests sent since `since`: how many were served, and how many were
  // sent.
  std::pair<std::uint64_t, std::uint64_t> ServedSince(
      base::TimePoint since) const;

  // Commands.
  // The time bounds don't apply to a store, balancer or server while a fault
  // disturbs it, nor for the settling time afterwards.
  void DisturbStore(base::TimePoint now, base::Duration length);
  void DisturbEdge(base::Ipv4Address edge,
                   base::TimePoint now,
                   base::Duration length);
  void DisturbServer(const std::string& server,
                     base::TimePoint now,
                     base::Duration length);
  // A new process of the balancer starts, which knows no manifest.
  void OnEdgeStarted(base::Ipv4Address edge);
  void OnServerRegistered(const std::string& server,
                          const std::string& service,
                          const std::string& data_centre,
                          base::TimePoint now);
  void OnServerDeregistered(const std::string& server) {
    m_registered.erase(server);
  }
  // The store removed the entries of servers that run.
  void OnEntriesLapsed();
  void OnDrainAcknowledged(const std::string& server, base::TimePoint now);
  // The store acknowledged the start or the end of an evacuation.
  void OnEvacuationStarted(const std::string& data_centre, base::TimePoint now);
  void OnEvacuationEnded(const std::string& data_centre, base::TimePoint now);
  void OnRouteAdded(base::Endpoint address,
                    const std::string& service,
                    base::TimePoint now);
  void OnRouteDropped(base::Endpoint address, base::TimePoint now);

  void OnPacketCorrupted(const std::string& receiver);
  void OnOpeningAccepted(const std::string& server,
                         const std::string& service,
                         base::Ipv4Address edge,
                         const flow::FlowKey& flow,
                         base::TimePoint now);
  void OnFlowOpened(const std::string& server,
                    const flow::FlowKey& flow,
                    base::TimePoint now);
  void OnFlowEnded(const flow::FlowKey& flow) { m_open.erase(flow); }
  // A packet of a flow reached a server that does not have the flow.
  void OnMisroutedPacket(const std::string& server, const flow::FlowKey& flow);
  void OnRequestExecuted(const std::string& request);
  // A reset that a balancer sent reached the caller.
  void OnReset(const flow::FlowKey& flow,
               base::Ipv4Address edge,
               bool is_open,
               base::TimePoint now);
  // A probe of an added route got neither an answer nor a reset.
  void OnProbeUnanswered(const flow::FlowKey& flow,
                         base::Ipv4Address edge,
                         base::TimePoint now);
  void OnRequestEnded(bool is_served, base::TimePoint sent_at);
  // A balancer claimed to know all changes made before a time, and lacked one.
  void OnFalseClaim(const std::string& details) { Report("CLAIM", details); }
  void OnUnexpectedExit(const std::string& details) { Report("EXIT", details); }

 private:
  struct RouteHistory {
    std::set<std::string> m_services;
    // The numbers of the changes that added and dropped the route.
    std::uint64_t m_added_by = 0;
    std::uint64_t m_dropped_by = 0;
    base::TimePoint m_added_at;
    // Nothing while the route exists.
    std::optional<base::TimePoint> m_dropped_at;
    // The route was dropped before it was last added.
    bool m_has_returned = false;
  };
  struct RegisteredServer {
    std::string m_service;
    std::string m_data_centre;
    base::TimePoint m_since;
  };
  struct Evacuation {
    base::TimePoint m_started_at;
    std::optional<base::TimePoint> m_ended_at;
  };
  // A change that a server saw in force at a balancer.
  struct SeenChange {
    std::uint64_t m_number = 0;
    base::TimePoint m_seen_at;
  };
  struct OpenFlow {
    std::string m_server;
    base::TimePoint m_opened_at;
    int m_misrouted_packets = 0;
  };

  void OnOpeningRefused(const flow::FlowKey& flow,
                        base::Ipv4Address edge,
                        const RouteHistory& route,
                        base::TimePoint now);
  // Whether a balancer must know a server of each service of the route.
  bool HasServers(const RouteHistory& route, base::TimePoint now) const;
  bool HasServer(const std::string& service, base::TimePoint now) const;
  // Whether a balancer may refuse openings to servers of the data centre.
  bool MayBeEvacuated(const std::string& data_centre,
                      base::TimePoint now) const;
  // Whether every balancer with a current view knows of the evacuation.
  bool MustBeEvacuated(const std::string& server, base::TimePoint now) const;
  // Whether a server saw the change, or a later one, in force at the balancer's
  // process longer ago than the slack for regressions.
  bool HasShown(base::Ipv4Address edge,
                std::uint64_t change,
                base::TimePoint now) const;
  void RecordShown(base::Ipv4Address edge,
                   std::uint64_t change,
                   base::TimePoint now);
  bool IsViewCurrent(base::Ipv4Address edge, base::TimePoint now) const;
  bool IsSettled(const std::map<std::string, base::TimePoint>& until,
                 const std::string& name,
                 base::TimePoint now) const;
  void Report(const std::string& rule, const std::string& details);

  base::Duration m_change_deadline;
  base::Duration m_settling_time;
  base::Duration m_evacuation_bound;
  std::map<std::string, base::TimePoint> m_edges_disturbed_until;
  std::map<std::string, base::TimePoint> m_servers_disturbed_until;
  base::TimePoint m_store_disturbed_until;
  std::map<std::string, base::TimePoint> m_draining;
  std::map<base::Endpoint, RouteHistory> m_routes;
  std::uint64_t m_changes = 0;
  std::map<std::string, SeenChange> m_shown;
  // By balancer and route.
  std::map<std::pair<std::string, base::Endpoint>, int> m_unanswered_probes;
  std::map<std::string, RegisteredServer> m_registered;
  // Of all servers that ever registered.
  std::map<std::string, std::string> m_data_centres;
  std::map<std::string, Evacuation> m_evacuations;
  bool m_have_entries_lapsed = false;
  std::map<flow::FlowKey, OpenFlow> m_open;
  std::set<std::string> m_executed_requests;
  std::vector<std::pair<base::TimePoint, bool>> m_answers;
  std::uint64_t m_served = 0;
  std::uint64_t m_failed = 0;
  std::map<std::string, int> m_violations_of_rule;
  std::vector<std::string> m_violations;
};

}  // namespace soak

#endif  // TESTS_SOAK_INVARIANT_CHECKER_H_
