#include "StandIns/udp_source_pool.h"

#include <utility>

namespace stand_ins {

void UdpSourcePool::Send(base::Ipv4Address source,
                         UdpPort::Bytes datagram,
                         base::Endpoint destination) {
  UdpPort* port = PortOf(source);
  if (port != nullptr)
    port->Send(datagram, destination);
}

UdpPort* UdpSourcePool::PortOf(base::Ipv4Address source) {
  const auto found = m_ports.find(source);
  if (found != m_ports.end())
    return found->second.get();
  if (m_ports.size() >= kMaximumSources)
    return nullptr;
  auto opened = UdpPort::Open(m_context, {source, 0});
  if (!opened)
    return nullptr;
  UdpPort* port = opened.value().get();
  m_ports.emplace(source, std::move(opened).value());
  return port;
}

}  // namespace stand_ins
