// Opens the UDP sockets that event loops use.

#ifndef LIBEVENTLOOP_DATAGRAM_SOCKET_H_
#define LIBEVENTLOOP_DATAGRAM_SOCKET_H_

#include <asio/ip/udp.hpp>

#include <system_error>

#include "LibBase/asio_endpoint.h"
#include "LibBase/ipv4.h"

namespace event_loop {

// Opens `socket`, binds it to `endpoint` and makes it non-blocking. Errors: any
// system error.
inline std::error_code OpenDatagramSocket(asio::ip::udp::socket& socket,
                                          base::Endpoint endpoint) {
  std::error_code error;
  socket.open(asio::ip::udp::v4(), error);
  if (!error)
    socket.bind(base::ToAsio<asio::ip::udp>(endpoint), error);
  if (!error)
    socket.non_blocking(true, error);
  return error;
}

}  // namespace event_loop

#endif  // LIBEVENTLOOP_DATAGRAM_SOCKET_H_
