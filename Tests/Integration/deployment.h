// A deployment of one data centre: its balancers, backend servers, callers and
// fabric run as separate processes. Tests with several data centres make
// several deployments on one platform.

#ifndef TESTS_INTEGRATION_DEPLOYMENT_H_
#define TESTS_INTEGRATION_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "child_process.h"
#include "document_model.h"
#include "peer_proxies.h"
#include "platform_control.h"

namespace integration {

// The time within which a configuration must be in force on all balancers (4 s
// in the letter of the users).
inline constexpr std::chrono::milliseconds kInForceDeadline{4000};
// The time after which a draining server must receive no opening.
inline constexpr std::chrono::milliseconds kDrainDeadline{3000};

struct CallerOptions {
  std::string m_kind = "short";
  double m_openings_per_second = 100;
  std::chrono::milliseconds m_duration{5000};
  int m_service_time_ms = 20;
  int m_answer_bytes = 2000;
  // Further command-line options of the stand-in.
  std::vector<std::string> m_extra_options;
};

class Deployment {
 public:
  struct Options {
    std::string m_data_centre = "a";
    // The number of the data centre in its test program, from 1 to 7. Each
    // number has addresses of its own.
    int m_number = 1;
    std::uint64_t m_seed = 1;
    // YAML lines added to each balancer's settings.
    std::string m_settings;
    // The connection limit of each server, in its options and in the document.
    int m_server_connections = ServerModel().m_connections;
    // Starts a fault proxy in front of each balancer and each backend server.
    bool m_has_fault_proxies = false;
    // Slots of each backend server.
    int m_server_slots = 3;
    // The fabric polls the balancers' readiness; otherwise the test adds them
    // to the fabric and removes them.
    bool m_fabric_polls_readiness = false;
    // Starts fault proxies between the balancers: each balancer advertises the
    // proxies' endpoints to its peers.
    bool m_has_peer_proxies = false;
  };

  Deployment(PlatformControl& platform,
             DocumentModel& document,
             Options options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts a server and adds it to the document model, without publishing the
  // document.
  void AddServer(const std::string& service,
                 const std::string& name,
                 const std::vector<std::string>& extra_options = {});
  // Starts a balancer, registers it with the platform, waits until it is ready,
  // and adds it to the fabric.
  void AddBalancer(const std::string& name);
  // The three steps of AddBalancer, for tests that act between them.
  void StartBalancer(const std::string& name);
  void AnnounceBalancer(const std::string& name);
  void AwaitReady(const std::string& name);
  // Sends SIGKILL. The fabric removes the balancer as late as a health check
  // would.
  void KillBalancer(const std::string& name);
  // Starts a killed balancer again, without state, at its former endpoints, and
  // waits until it is ready.
  void RestartBalancer(const std::string& name);
  // Sends SIGSTOP: the balancer is paused and packets queue in its sockets.
  void FreezeBalancer(const std::string& name);
  // Fills the receive buffer of a frozen balancer's peer socket. The balancer
  // loses what peers send until it thaws, like a VM that was suspended.
  void FillPeerSocket(const std::string& name);
  // Sends SIGCONT.
  void ThawBalancer(const std::string& name);
  // Sends SIGTERM and removes the balancer from the fabric once the shutdown
  // has started. Returns the exit code.
  int StopBalancer(const std::string& name);
  // Stops several balancers at once and runs `meanwhile` while they shut down.
  // Returns whether all ended with exit code 0.
  bool StopBalancers(const std::vector<std::string>& names,
                     const std::function<void()>& meanwhile = nullptr);
  // Sends SIGSTOP, waits until every other balancer reports that the peer left,
  // hence past every timeout, and sends SIGCONT.
  void PauseBalancer(const std::string& name);
  // Sends a command, such as `loss 0.02`, to the fault proxies.
  void SetFault(const std::string& command);
  // Sends a command to the proxies between the balancers.
  void SetPeerFault(const std::string& command);
  // Starts or stops losing all messages between the balancers of the two
  // deployments.
  void CutFrom(Deployment& other);
  void HealFrom(Deployment& other);
  std::unique_ptr<ChildProcess> StartCaller(const std::string& service,
                                            const CallerOptions& options);

  ChildProcess& Balancer(const std::string& name) {
    return *m_balancers.at(name);
  }
  ChildProcess& Server(const std::string& name) { return *m_servers.at(name); }
  ChildProcess& Fabric() { return *m_fabric; }
  // The fabric's endpoint for callers.
  const std::string& CallersEndpoint() const { return m_fabric_callers; }
  std::vector<std::string> BalancerNames() const;
  // The IP address that all balancers of the deployment share.
  std::string BalancerAddress() const { return Address(0, 1); }
  // Sets the extra YAML settings of balancers that start from now on.
  void SetSettings(const std::string& settings) {
    m_options.m_settings = settings;
  }
  // Sets the platform endpoint of balancers that start from now on.
  void SetPlatformEndpoint(base::Endpoint endpoint) {
    m_platform_endpoint = endpoint;
  }

  // Waits until every running balancer that is not frozen has `version` or a
  // later version in force. Returns how long it waited.
  std::chrono::milliseconds AwaitInForce(
      std::uint64_t version,
      std::chrono::milliseconds deadline = kInForceDeadline);
  // Whether the versions that each balancer put in force only increased.
  bool AreVersionsMonotonic() const;
  // Sums a counter of the servers' reports.
  std::uint64_t SumOverServers(const std::string& counter);
  // The number of request ids that ran more than once, over all servers.
  std::uint64_t CountExecutedTwice();
  // How often each request id ran, over all servers.
  std::map<std::string, int> Executions();

 private:
  std::string Address(int block, int number) const;
  std::string WriteSettings(const std::string& name);
  // Starts a fault proxy in front of `target` and returns its endpoint; returns
  // `target` if the deployment has no fault proxies. The proxy has the IP
  // address of `target`, since balancers identify servers by it.
  base::Endpoint StartProxy(base::Endpoint target);

  PlatformControl& m_platform;
  DocumentModel& m_document;
  Options m_options;
  base::Endpoint m_platform_endpoint;
  std::string m_folder;
  std::unique_ptr<ChildProcess> m_fabric;
  std::string m_fabric_callers;
  std::string m_fabric_servers;
  std::string m_fabric_balancers;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_servers;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_balancers;
  std::vector<std::unique_ptr<ChildProcess>> m_proxies;
  // Keyed by the name of the balancer.
  std::map<std::string, std::unique_ptr<PeerProxies>> m_peer_proxies;
  // Processes that were killed or stopped; their logs are still read.
  std::vector<std::unique_ptr<ChildProcess>> m_former_balancers;
  // The `listening` lines of killed balancers, by name.
  std::map<std::string, JsonLine> m_former_endpoints;
  std::set<std::string> m_frozen;
  int m_next_server = 1;
  int m_next_caller = 1;
};

}  // namespace integration

#endif  // TESTS_INTEGRATION_DEPLOYMENT_H_
