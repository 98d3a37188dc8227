// The UDP socket of the control thread. It sends and receives the datagrams of
// the peer protocol.

#ifndef SERVICES_COLTSFOOTDALE_PEER_LINK_H_
#define SERVICES_COLTSFOOTDALE_PEER_LINK_H_

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibPeer/limits.h"
#include "LibPeer/message.h"

namespace service {

struct PeerLinkCounters {
  // Bytes with IP and UDP headers.
  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_bytes_received = 0;
  // Datagrams that could not be decoded.
  std::uint64_t m_messages_refused = 0;
};

class PeerLink {
 public:
  using MessageHandler =
      std::function<void(base::Endpoint from, const peer::Message& message)>;
  // Called for a datagram that cannot be decoded.
  using RefusalHandler =
      std::function<void(base::Endpoint from, std::error_code reason)>;

  // Binds the socket. Returns a system error if it cannot be bound.
  static base::Outcome<std::unique_ptr<PeerLink>> Create(
      asio::io_context& context,
      base::Endpoint listen);

  // Queries.
  base::Endpoint LocalEndpoint() const;
  const PeerLinkCounters& counters() const { return m_counters; }

  // Commands.
  void Start(MessageHandler on_message, RefusalHandler on_refusal);
  void Stop();
  // Drops a message that cannot be sent and reports no error. The protocol
  // handles the message like a datagram that the network lost.
  void Send(base::Endpoint to, const peer::Message& message);

 private:
  explicit PeerLink(asio::io_context& context) : m_socket(context) {}

  void Receive();
  void HandleDatagram(std::size_t size);

  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_sender;
  // One byte larger than the maximum datagram, so that an oversized datagram is
  // recognised by its length.
  std::array<char, peer::kMaximumDatagramBytes + 1> m_buffer{};
  MessageHandler m_on_message;
  RefusalHandler m_on_refusal;
  PeerLinkCounters m_counters;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_PEER_LINK_H_
