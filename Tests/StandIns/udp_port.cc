#include "StandIns/udp_port.h"

#include <system_error>
#include <utility>

#include "LibBase/asio_endpoint.h"

namespace stand_ins {

namespace {

// Requested buffer size; the system may grant less.
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

// Maximum number of datagrams handled before other events run.
constexpr int kBatchDatagrams = 256;

}  // namespace

base::Outcome<std::unique_ptr<UdpPort>> UdpPort::Open(asio::io_context* context,
                                                      base::Endpoint endpoint) {
  std::unique_ptr<UdpPort> port(new UdpPort(context));
  std::error_code error;
  port->m_socket.open(asio::ip::udp::v4(), error);
  if (error)
    return error;
  std::error_code ignored;
  port->m_socket.set_option(
      asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  port->m_socket.set_option(
      asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  port->m_socket.bind(base::ToAsio<asio::ip::udp>(endpoint), error);
  if (!error)
    port->m_socket.non_blocking(true, error);
  if (error)
    return error;
  const auto local = port->m_socket.local_endpoint(error);
  if (error)
    return error;
  port->m_local = base::FromAsio(local);
  return port;
}

void UdpPort::StartReceiving(Handler handler) {
  m_handler = std::move(handler);
  WaitForDatagrams();
}

void UdpPort::Send(Bytes datagram, base::Endpoint destination) {
  std::error_code dropped;
  m_socket.send_to(asio::buffer(datagram.data(), datagram.size()),
                   base::ToAsio<asio::ip::udp>(destination), 0, dropped);
}

void UdpPort::WaitForDatagrams() {
  m_socket.async_wait(asio::socket_base::wait_read,
                      [this](std::error_code error) {
                        if (error)
                          return;
                        ReceiveBatch();
                        WaitForDatagrams();
                      });
}

void UdpPort::ReceiveBatch() {
  for (int count = 0; count < kBatchDatagrams; ++count) {
    asio::ip::udp::endpoint source;
    std::error_code error;
    const std::size_t size =
        m_socket.receive_from(asio::buffer(m_buffer), source, 0, error);
    if (error)
      return;
    m_handler(Bytes(m_buffer).first(size), base::FromAsio(source));
  }
}

}  // namespace stand_ins
