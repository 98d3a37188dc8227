// The balancer processes of a soak, their settings files, the proxies between
// them and the store, and the router that picks a balancer for each packet.

#ifndef TESTS_SOAK_EDGE_FLEET_H_
#define TESTS_SOAK_EDGE_FLEET_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibHttp/client.h"
#include "StandIns/event_loop.h"
#include "StandIns/fault_plan.h"
#include "StandIns/line_commands.h"
#include "StandIns/tcp_proxy.h"
#include "deployment_profile.h"
#include "edge_child_process.h"
#include "network.h"

namespace soak {

class InvariantChecker;

class EdgeFleet {
 public:
  // Starts `edges` processes of `program`, with settings and logs in
  // `directory`. Throws if a proxy to the store cannot be opened.
  EdgeFleet(stand_ins::EventLoop* loop,
            InvariantChecker* checker,
            Network network,
            const DeploymentProfile& profile,
            std::uint32_t edges,
            std::string program,
            std::string directory);
  EdgeFleet(const EdgeFleet&) = delete;
  EdgeFleet& operator=(const EdgeFleet&) = delete;

  // Queries.
  std::uint32_t size() const { return m_network_size; }
  // The balancer that receives the packets of `flow`; nothing if no balancer is
  // in rotation.
  std::optional<base::Endpoint> Route(const flow::FlowKey& flow) const;
  bool AreAllReady() const;
  // The balancers whose log shows that they read the store.
  std::vector<std::uint32_t> Readers() const;
  // The packet endpoints of the balancers that answered the last poll.
  std::vector<base::Endpoint> ReadyEdges() const;
  // Where a balancer serves its metrics and its status page.
  base::Endpoint MetricsEndpoint(std::uint32_t edge) const {
    return {m_network.Edge(edge), kMetricsPort};
  }

  // Commands.
  // Sends a signal. After SIGKILL or SIGTERM the process is started again after
  // `restart_after`.
  void Signal(std::uint32_t edge, int signal, base::Duration restart_after);
  // Stops the process with SIGSTOP and continues it after `length`.
  void Pause(std::uint32_t edge, base::Duration length);
  // Applies a FaultPlan command to the proxy between the balancer and the
  // store, and removes the fault after `length`.
  void InjectStorePathFault(std::uint32_t edge,
                            const std::string& rule,
                            base::Duration length);
  // Sends SIGTERM, and SIGKILL after `grace`. The process is started again as
  // soon as it has exited.
  void Stop(std::uint32_t edge, base::Duration grace);
  struct Changes {
    int m_drain_bound_ms = 0;
    // The first of the three consecutive balancers that are the seeds.
    std::uint32_t m_first_seed = 0;
  };
  // Rewrites the settings file.
  void ChangeSettings(std::uint32_t edge, const Changes& changes);

 private:
  struct Edge {
    std::uint32_t m_index = 0;
    std::unique_ptr<EdgeChildProcess> m_program;
    bool m_is_exit_expected = false;
    // When a process that was told to stop is killed, if it was to start again
    // at its exit.
    std::optional<base::TimePoint> m_kill_at;
    int m_missed_polls = 2;
    std::unique_ptr<stand_ins::FaultPlan> m_fault_plan;
    std::unique_ptr<stand_ins::TcpProxy> m_store_proxy;
    stand_ins::LineCommands m_fault_commands;
  };

  std::string LogPath(std::uint32_t edge) const;
  std::string SettingsPath(std::uint32_t edge) const;
  void Start(Edge& edge);
  void RestartExited();
  void RestartStopped(Edge& edge);
  void Poll();

  stand_ins::EventLoop* m_loop;
  InvariantChecker* m_checker;
  Network m_network;
  DeploymentProfile m_profile;
  std::uint32_t m_network_size;
  std::string m_program_path;
  std::string m_directory;
  std::vector<std::unique_ptr<Edge>> m_edges;
  http::Client m_client;
};

}  // namespace soak

#endif  // TESTS_SOAK_EDGE_FLEET_H_
