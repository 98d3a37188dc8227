// The balancer processes of a soak, their settings, their ways to the store,
// and the router that picks one for each packet.

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
#include "edge_child_process.h"
#include "network.h"

namespace soak {

class InvariantChecker;

class EdgeFleet {
 public:
  // Starts `edges` processes of `program`; their logs go to `directory`.
  EdgeFleet(stand_ins::EventLoop* loop,
            InvariantChecker* checker,
            Network network,
            std::uint32_t edges,
            std::string program,
            std::string directory);
  EdgeFleet(const EdgeFleet&) = delete;
  EdgeFleet& operator=(const EdgeFleet&) = delete;

  // Queries.
  std::uint32_t size() const { return m_network_size; }
  std::optional<base::Endpoint> Route(const flow::FlowKey& flow) const;
  bool AreAllReady() const;

  // Commands.
  // Sends a signal. A process that it ends starts again after `restart_after`.
  void Signal(std::uint32_t edge, int signal, base::Duration restart_after);
  // Stops the process for `length`.
  void Pause(std::uint32_t edge, base::Duration length);
  // Applies a rule of FaultPlan to the way to the store, and heals it later.
  void InjectStorePathFault(std::uint32_t edge,
                            const std::string& rule,
                            base::Duration length);
  // Writes the settings file anew, with another bound.
  void ChangeSettings(std::uint32_t edge, int drain_ms);

 private:
  struct Edge {
    std::uint32_t m_index = 0;
    std::unique_ptr<EdgeChildProcess> m_program;
    bool m_is_exit_expected = false;
    int m_missed_polls = 2;
    std::unique_ptr<stand_ins::FaultPlan> m_fault_plan;
    std::unique_ptr<stand_ins::TcpProxy> m_store_proxy;
    stand_ins::LineCommands m_fault_commands;
  };

  std::string SettingsPath(std::uint32_t edge) const;
  void Start(Edge& edge);
  void RestartExited();
  void Poll();

  stand_ins::EventLoop* m_loop;
  InvariantChecker* m_checker;
  Network m_network;
  std::uint32_t m_network_size;
  std::string m_program_path;
  std::string m_directory;
  std::vector<std::unique_ptr<Edge>> m_edges;
  http::Client m_client;
};

}  // namespace soak

#endif  // TESTS_SOAK_EDGE_FLEET_H_
