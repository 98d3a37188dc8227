// A bound UDP socket that passes each received datagram to a handler.

#ifndef STANDINS_UDP_PORT_H_
#define STANDINS_UDP_PORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include <asio.hpp>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"

namespace stand_ins {

class UdpPort {
 public:
  using Bytes = std::span<const std::uint8_t>;
  using Handler = std::function<void(Bytes datagram, base::Endpoint source)>;

  // Binds a socket; port 0 selects an ephemeral port. Errors are those of the
  // operating system.
  static base::Outcome<std::unique_ptr<UdpPort>> Open(asio::io_context* context,
                                                      base::Endpoint endpoint);

  // Queries.
  base::Endpoint LocalEndpoint() const { return m_local; }

  // Commands.
  void StartReceiving(Handler handler);
  // Sends a datagram. Drops the datagram if the system rejects it, as a network
  // would.
  void Send(Bytes datagram, base::Endpoint destination);

 private:
  static constexpr std::size_t kMaximumDatagramBytes = 65536;

  explicit UdpPort(asio::io_context* context) : m_socket(*context) {}

  void WaitForDatagrams();
  void ReceiveBatch();

  asio::ip::udp::socket m_socket;
  base::Endpoint m_local;
  Handler m_handler;
  std::array<std::uint8_t, kMaximumDatagramBytes> m_buffer;
};

}  // namespace stand_ins

#endif  // STANDINS_UDP_PORT_H_
