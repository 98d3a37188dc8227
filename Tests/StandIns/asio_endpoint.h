// Conversions between the project's endpoints and Asio's.

#ifndef STANDINS_ASIO_ENDPOINT_H_
#define STANDINS_ASIO_ENDPOINT_H_

#include <asio.hpp>

#include "LibBase/ipv4.h"

namespace stand_ins {

// Protocol is asio::ip::udp or asio::ip::tcp.
template <typename Protocol>
typename Protocol::endpoint ToAsio(base::Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.m_address.value()), endpoint.m_port};
}

// The endpoint must be an IPv4 one.
template <typename AsioEndpoint>
base::Endpoint FromAsio(const AsioEndpoint& endpoint) {
  return {base::Ipv4Address(endpoint.address().to_v4().to_uint()),
          endpoint.port()};
}

}  // namespace stand_ins

#endif  // STANDINS_ASIO_ENDPOINT_H_
