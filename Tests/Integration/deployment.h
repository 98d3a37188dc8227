// A deployment of one data centre with the stand-ins around it, as separate
// processes. Tests that need more data centres make several on one platform.

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

// The time in which a configuration must be in force everywhere (letter of
// the users, 4 s).
inline constexpr std::chrono::milliseconds kInForceDeadline{4000};
// The time after which a leaving server gets no opening.
inline constexpr std::chrono::milliseconds kDrainDeadline{3000};

struct CallerOptions {
  std::string m_kind = "short";
  double m_openings_per_second = 100;
  std::chrono::milliseconds m_duration{5000};
  int m_service_time_ms = 20;
  int m_answer_bytes = 2000;
  // More command-line options of the stand-in.
  std::vector<std::string> m_extra_options;
};

class Deployment {
 public:
  struct Options {
    std::string m_data_centre = "a";
    // Counts the data centres of one test program from 1 to 7; gives each
    // addresses of its own.
    int m_number = 1;
    std::uint64_t m_seed = 1;
    // YAML lines added to each balancer's settings.
    std::string m_settings;
    // Connection limit of each server, in its options and in the document.
    int m_server_connections = ServerModel().m_connections;
    // Puts a fault proxy before each balancer, and before each server that is
    // added.
    bool m_has_fault_proxies = false;
    // Of each backend server.
    int m_server_slots = 3;
    // The fabric asks the balancers themselves whether they are ready, instead
    // of being told by the test.
    bool m_fabric_polls_readiness = false;
    // Puts fault proxies between the balancers: each is known to its peers by
    // the endpoints of proxies.
    bool m_has_peer_proxies = false;
  };

  Deployment(PlatformControl& platform,
             DocumentModel& document,
             Options options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts a server and enters it into the document model, unpublished.
  void AddServer(const std::string& service,
                 const std::string& name,
                 const std::vector<std::string>& extra_options = {});
  // Starts a balancer, tells platform and fabric of it, and waits until it
  // serves.
  void AddBalancer(const std::string& name);
  // The same in three steps, for tests that interfere in between.
  void StartBalancer(const std::string& name);
  void AnnounceBalancer(const std::string& name);
  void AwaitReady(const std::string& name);
  // SIGKILL. The fabric notices as late as a health check would.
  void KillBalancer(const std::string& name);
  // Starts a killed balancer again without any state at the endpoints it had,
  // and waits until it serves.
  void RestartBalancer(const std::string& name);
  // SIGSTOP: the balancer stands still and packets wait in its sockets.
  void FreezeBalancer(const std::string& name);
  // Fills the peer socket of a frozen balancer, so that it gets nothing that
  // peers send until it thaws, like a VM that was suspended.
  void FillPeerSocket(const std::string& name);
  // SIGCONT.
  void ThawBalancer(const std::string& name);
  // SIGTERM: the fabric is told at once; returns the exit code.
  int StopBalancer(const std::string& name);
  // The same of several at once; `meanwhile` runs while they leave. Whether all
  // ended with exit code 0.
  bool StopBalancers(const std::vector<std::string>& names,
                     const std::function<void()>& meanwhile = nullptr);
  // SIGSTOP, until every other balancer has noticed, so past every timeout;
  // then SIGCONT.
  void PauseBalancer(const std::string& name);
  // Sends a command, as `loss 0.02`, to the fault proxies.
  void SetFault(const std::string& command);
  // Sends a command to the proxies between the balancers.
  void SetPeerFault(const std::string& command);
  // Messages between the balancers of both deployments are lost from now on, or
  // no more.
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
  // The IP number that all balancers of the deployment share.
  std::string BalancerAddress() const { return Address(0, 1); }
  // YAML lines of balancers that are started from now on.
  void SetSettings(const std::string& settings) {
    m_options.m_settings = settings;
  }
  // Endpoint that balancers started from now on use for the platform.
  void SetPlatformEndpoint(base::Endpoint endpoint) {
    m_platform_endpoint = endpoint;
  }

  // Waits until every running balancer that is not frozen has `version` or a
  // later one in force; returns how long it waited.
  std::chrono::milliseconds AwaitInForce(
      std::uint64_t version,
      std::chrono::milliseconds deadline = kInForceDeadline);
  // Whether each balancer's versions only ever grew.
  bool AreVersionsMonotonic() const;
  // Sums a counter of the servers' reports.
  std::uint64_t SumOverServers(const std::string& counter);
  // How many request ids ran twice, over all servers together.
  std::uint64_t CountExecutedTwice();
  // All request ids that ran, over all servers together.
  std::map<std::string, int> Executions();

 private:
  std::string Address(int block, int number) const;
  std::string WriteSettings(const std::string& name);
  // Endpoint of a new fault proxy before `target`, or `target` if there are
  // none. It has the address of `target`, by which balancers know servers.
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
  // By name of the balancer.
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
