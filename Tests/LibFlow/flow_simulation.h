// Simulates callers, servers and a fabric that sprays packets around several
// directors in one process, without sockets or real time. Tests and benchmarks
// use this simulation.

#ifndef TESTS_LIBFLOW_FLOW_SIMULATION_H_
#define TESTS_LIBFLOW_FLOW_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/flow_director.h"
#include "LibFlow/routing_table.h"

namespace flow {

// What the simulated callers and servers counted.
struct SimulationCounts {
  std::uint64_t m_opened = 0;
  std::uint64_t m_refused = 0;
  // Exchanges on flows that had been opened.
  std::uint64_t m_answered = 0;
  std::uint64_t m_lost = 0;
  // Resets that reached a caller within an open flow.
  std::uint64_t m_broken = 0;
  // Packets that reached a server of another service.
  std::uint64_t m_misdelivered = 0;
  std::uint64_t m_relays = 0;
};

class FlowSimulation {
 public:
  // An opening goes to the server with the fewest open flows among the first
  // `m_candidates` servers in the flow's order.
  struct Options {
    FlowSettings m_settings;
    std::size_t m_candidates = 3;
    std::uint64_t m_seed = 1;
  };

  explicit FlowSimulation(Options options);
  ~FlowSimulation();
  FlowSimulation(const FlowSimulation&) = delete;
  FlowSimulation& operator=(const FlowSimulation&) = delete;

  const SimulationCounts& counts() const { return m_counts; }
  base::TimePoint now() const { return m_now; }
  std::size_t balancer_count() const { return m_balancers.size(); }
  std::size_t LearnedFlowCount() const;

  // Changes of the topology. A change of balancers takes effect on all
  // balancers at once.
  std::uint64_t AddBalancer();
  void KillBalancer(std::uint64_t id);
  // Replaces the active and draining servers of service `service` in the
  // configuration. A server is a number. A balancer gets the configuration when
  // it is published to the balancer.
  void SetServers(std::uint8_t service,
                  const std::vector<std::uint8_t>& active,
                  const std::vector<std::uint8_t>& draining = {});
  // Publish the present configuration to one balancer or to all. A balancer
  // keeps an older one until then.
  void PublishTo(std::uint64_t balancer);
  void PublishToAll();

  // Opens a flow; returns nothing if the caller was refused or got no answer.
  std::optional<FlowKey> Open(std::uint8_t service);
  // Sends one packet on the flow, at most `attempts` times until it is
  // answered; false if the flow broke or no answer came.
  bool Exchange(const FlowKey& key, int attempts = 12);
  void Close(const FlowKey& key);
  void Advance(base::Duration duration);

  static base::Endpoint ServiceAddress(std::uint8_t service);
  static base::Ipv4Address ServerAddress(std::uint8_t server);

 private:
  struct Node;
  struct Reply;

  Node& PickBalancer();
  void RefreshBalancerSets();
  std::optional<Reply> SendFromCaller(const CallerPacket& packet);
  std::optional<Reply> Run(Node& node, const CallerPacket& packet, int depth);
  std::optional<Reply> Run(Node& node, const ServerPacket& packet, int depth);
  template <typename Packet>
  std::optional<Reply> Apply(Node& node,
                             const Packet& packet,
                             const Effects& effects,
                             int depth);
  std::optional<Reply> DeliverToServer(base::Endpoint tunnel,
                                       const CallerPacket& packet,
                                       int depth);
  Node* FindByTraffic(base::Endpoint traffic);

  Options m_options;
  base::Random m_random;
  base::TimePoint m_now;
  SimulationCounts m_counts;
  std::map<std::uint64_t, std::unique_ptr<Node>> m_balancers;
  // The set that was built last; the next set is derived from this one.
  std::shared_ptr<const BalancerSet> m_balancer_set;
  std::uint64_t m_next_balancer = 1;
  std::uint16_t m_next_port = 1024;
  std::uint32_t m_next_address = 1;
  base::ConfigurationVersion m_version;
  std::map<std::uint8_t, std::vector<RoutedServer>> m_services;
  // The connections of each server, and the service to which the server
  // belongs.
  std::map<base::Ipv4Address, std::set<FlowKey>> m_connections;
  std::map<base::Ipv4Address, std::uint8_t> m_owners;
};

}  // namespace flow

#endif  // TESTS_LIBFLOW_FLOW_SIMULATION_H_
