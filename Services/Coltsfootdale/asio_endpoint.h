// Conversion between Asio's endpoints and those of LibBase.

#ifndef SERVICES_COLTSFOOTDALE_ASIO_ENDPOINT_H_
#define SERVICES_COLTSFOOTDALE_ASIO_ENDPOINT_H_

#include <asio/ip/address_v4.hpp>

#include "LibBase/ipv4.h"

namespace service {

template <typename Protocol>
typename Protocol::endpoint ToAsio(base::Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.m_address.value()), endpoint.m_port};
}

// Only for IPv4 endpoints.
template <typename AsioEndpoint>
base::Endpoint FromAsio(const AsioEndpoint& endpoint) {
  return {base::Ipv4Address(endpoint.address().to_v4().to_uint()),
          endpoint.port()};
}

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_ASIO_ENDPOINT_H_
