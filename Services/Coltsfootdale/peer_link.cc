#include "peer_link.h"

#include <asio/buffer.hpp>

#include <string>
#include <string_view>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "LibEventLoop/datagram_socket.h"
#include "LibPeer/codec.h"

namespace service {

namespace {

// 20 bytes of IPv4 and 8 bytes of UDP.
constexpr std::size_t kIpAndUdpHeaderBytes = 28;

}  // namespace

base::Outcome<std::unique_ptr<PeerLink>> PeerLink::Create(
    asio::io_context& context,
    base::Endpoint listen) {
  std::unique_ptr<PeerLink> link(new PeerLink(context));
  if (const auto error = event_loop::OpenDatagramSocket(link->m_socket, listen))
    return error;
  return link;
}

base::Endpoint PeerLink::LocalEndpoint() const {
  return base::FromAsio(m_socket.local_endpoint());
}

void PeerLink::Start(MessageHandler on_message, RefusalHandler on_refusal) {
  m_on_message = std::move(on_message);
  m_on_refusal = std::move(on_refusal);
  Receive();
}

void PeerLink::Stop() {
  std::error_code ignored;
  m_socket.close(ignored);
}

void PeerLink::Send(base::Endpoint to, const peer::Message& message) {
  const auto frame = peer::Encode(peer::Transport::kDatagram, message);
  if (!frame)
    return;
  std::error_code ignored;
  m_socket.send_to(asio::buffer(frame.value()), base::ToAsio<asio::ip::udp>(to),
                   0, ignored);
  m_counters.m_bytes_sent += frame.value().size() + kIpAndUdpHeaderBytes;
}

void PeerLink::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_sender,
      [this](const std::error_code& error, std::size_t size) {
        if (!m_socket.is_open())
          return;
        if (!error)
          HandleDatagram(size);
        Receive();
      });
}

void PeerLink::HandleDatagram(std::size_t size) {
  m_counters.m_bytes_received += size + kIpAndUdpHeaderBytes;
  const auto message = peer::Decode(peer::Transport::kDatagram,
                                    std::string_view(m_buffer.data(), size));
  if (message) {
    m_on_message(base::FromAsio(m_sender), message.value());
    return;
  }
  ++m_counters.m_messages_refused;
  m_on_refusal(base::FromAsio(m_sender), message.error());
}

}  // namespace service
