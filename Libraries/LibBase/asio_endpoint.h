// Conversion between Asio's endpoints and base::Endpoint. LibBase itself does
// not depend on Asio, so only files that use Asio include this header.

#ifndef LIBBASE_ASIO_ENDPOINT_H_
#define LIBBASE_ASIO_ENDPOINT_H_

#include <asio/ip/address_v4.hpp>

#include "LibBase/ipv4.h"

namespace base {

// Protocol is asio::ip::udp or asio::ip::tcp.
template <typename Protocol>
typename Protocol::endpoint ToAsio(Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.m_address.value()), endpoint.m_port};
}

// `endpoint` must be an IPv4 endpoint.
template <typename AsioEndpoint>
Endpoint FromAsio(const AsioEndpoint& endpoint) {
  return {Ipv4Address(endpoint.address().to_v4().to_uint()), endpoint.port()};
}

}  // namespace base

#endif  // LIBBASE_ASIO_ENDPOINT_H_
