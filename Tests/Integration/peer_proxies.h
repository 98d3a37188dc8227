// The fault proxies in front of one balancer, at the endpoints that the
// balancer advertises to its peers.

#ifndef TESTS_INTEGRATION_PEER_PROXIES_H_
#define TESTS_INTEGRATION_PEER_PROXIES_H_

#include <cstdint>
#include <memory>
#include <string>

#include "LibBase/ipv4.h"

namespace integration {

class ChildProcess;

class PeerProxies {
 public:
  // Starts the proxies at `address`. They pass nothing before SetTargets.
  PeerProxies(const std::string& address, std::uint64_t seed);
  ~PeerProxies();
  PeerProxies(const PeerProxies&) = delete;
  PeerProxies& operator=(const PeerProxies&) = delete;

  // The endpoints to which peers send relayed packets and messages.
  const std::string& traffic() const { return m_traffic_endpoint; }
  const std::string& peer() const { return m_peer_endpoint; }

  // Commands.
  // Sets the endpoints of the balancer's own sockets as the proxies' targets.
  void SetTargets(const std::string& traffic, const std::string& peer);
  // Sends a command, such as `loss 0.02` or `exclude 127.0.2.1`, to the UDP
  // proxies.
  void SetFault(const std::string& command);

 private:
  std::unique_ptr<ChildProcess> m_traffic;
  std::unique_ptr<ChildProcess> m_peer;
  // The TCP proxy at the port of m_peer.
  std::unique_ptr<ChildProcess> m_documents;
  std::string m_traffic_endpoint;
  std::string m_peer_endpoint;
};

}  // namespace integration

#endif  // TESTS_INTEGRATION_PEER_PROXIES_H_
