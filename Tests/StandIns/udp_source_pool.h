// Sends datagrams with any local source address, as a router forwards packets.

#ifndef STANDINS_UDP_SOURCE_POOL_H_
#define STANDINS_UDP_SOURCE_POOL_H_

#include <cstddef>
#include <memory>
#include <unordered_map>

#include <asio.hpp>

#include "LibBase/ipv4.h"
#include "StandIns/udp_port.h"

namespace stand_ins {

class UdpSourcePool {
 public:
  // `context` must outlive the pool.
  explicit UdpSourcePool(asio::io_context* context) : m_context(context) {}

  // Sends from a socket bound to (source, 0); each source has one socket. Drops
  // the datagram if there are kMaximumSources other sources or the address is
  // not local.
  void Send(base::Ipv4Address source,
            UdpPort::Bytes datagram,
            base::Endpoint destination);

 private:
  static constexpr std::size_t kMaximumSources = 4096;

  UdpPort* PortOf(base::Ipv4Address source);

  asio::io_context* m_context;
  std::unordered_map<base::Ipv4Address, std::unique_ptr<UdpPort>> m_ports;
};

}  // namespace stand_ins

#endif  // STANDINS_UDP_SOURCE_POOL_H_
