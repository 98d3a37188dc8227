// Fault proxies before one balancer, at the endpoints that it tells its peers.

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
  // The proxies listen at `address`, and pass nothing until they are aimed.
  PeerProxies(const std::string& address, std::uint64_t seed);
  ~PeerProxies();
  PeerProxies(const PeerProxies&) = delete;
  PeerProxies& operator=(const PeerProxies&) = delete;

  // Where peers send relayed packets, and messages.
  const std::string& traffic() const { return m_traffic_endpoint; }
  const std::string& peer() const { return m_peer_endpoint; }

  // Commands.
  // Names the endpoints of the balancer's own sockets.
  void SetTargets(const std::string& traffic, const std::string& peer);
  // Sends a command, as `loss 0.02` or `exclude 127.0.2.1`, to the proxies of
  // datagrams.
  void SetFault(const std::string& command);

 private:
  std::unique_ptr<ChildProcess> m_traffic;
  std::unique_ptr<ChildProcess> m_peer;
  // TCP, at the port of m_peer.
  std::unique_ptr<ChildProcess> m_documents;
  std::string m_traffic_endpoint;
  std::string m_peer_endpoint;
};

}  // namespace integration

#endif  // TESTS_INTEGRATION_PEER_PROXIES_H_
