#include "peer_proxies.h"

#include <chrono>
#include <vector>

#include "child_process.h"
#include "harness_error.h"
#include "programs.h"

namespace integration {

namespace {

constexpr auto kStartDeadline = std::chrono::seconds(10);
constexpr int kMaximumPortAttempts = 64;
// Nothing listens there.
constexpr const char* kUnusedEndpoint = "127.0.0.1:9";

std::unique_ptr<ChildProcess> Start(const std::string& listen,
                                    const std::string& protocol,
                                    std::uint64_t seed) {
  return std::make_unique<ChildProcess>(
      kStandInTraffic,
      std::vector<std::string>{"proxy", "--listen", listen, "--target",
                               kUnusedEndpoint, "--protocol", protocol,
                               "--seed", std::to_string(seed)});
}

std::string EndpointOf(ChildProcess& proxy) {
  return proxy.WaitFor("listening", kStartDeadline).get("listen", "");
}

}  // namespace

PeerProxies::PeerProxies(const std::string& address, std::uint64_t seed)
    : m_traffic(Start(address + ":0", "udp", seed)),
      m_traffic_endpoint(EndpointOf(*m_traffic)) {
  // A port number that is free for UDP may be in use for TCP.
  bool is_listening = false;
  for (int attempt = 0; attempt < kMaximumPortAttempts && !is_listening;
       ++attempt) {
    m_peer = Start(address + ":0", "udp", seed + 1);
    m_peer_endpoint = EndpointOf(*m_peer);
    m_documents = Start(m_peer_endpoint, "tcp", seed + 2);
    is_listening =
        m_documents->FindWithin("listening", kStartDeadline).has_value();
  }
  Require(is_listening, "no port is free for both TCP and UDP at " + address);
}

PeerProxies::~PeerProxies() = default;

void PeerProxies::SetTargets(const std::string& traffic,
                             const std::string& peer) {
  m_traffic->SendAndWait("target " + traffic, "done");
  m_peer->SendAndWait("target " + peer, "done");
  m_documents->SendAndWait("target " + peer, "done");
}

void PeerProxies::SetFault(const std::string& command) {
  m_traffic->SendAndWait(command, "done");
  m_peer->SendAndWait(command, "done");
}

}  // namespace integration
