// Receives and sends UDP datagrams many at a time (recvmmsg, sendmmsg).

#ifndef LIBEVENTLOOP_DATAGRAM_BATCH_H_
#define LIBEVENTLOOP_DATAGRAM_BATCH_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibWire/packet_view.h"
#include "LibWire/relay_header.h"

namespace event_loop {

inline constexpr std::size_t kBatchSize = 64;
inline constexpr std::size_t kMaximumDatagramBytes =
    wire::kRelayHeaderBytes + wire::kMaximumPacketBytes;

// Datagrams received by one call; valid until the next.
class ReceivedBatch {
 public:
  ReceivedBatch();
  ReceivedBatch(const ReceivedBatch&) = delete;
  ReceivedBatch& operator=(const ReceivedBatch&) = delete;

  std::size_t size() const { return m_size; }
  std::span<const std::uint8_t> Bytes(std::size_t index) const;
  base::Endpoint Source(std::size_t index) const;

  // Receives what has arrived, at most kBatchSize; false if nothing has.
  bool Receive(int socket);

 private:
  // One byte more than is accepted, so that longer datagrams show.
  using Buffer = std::array<std::uint8_t, kMaximumDatagramBytes + 1>;

  std::vector<Buffer> m_buffers;
  std::array<sockaddr_in, kBatchSize> m_sources{};
  std::array<iovec, kBatchSize> m_vectors{};
  std::array<mmsghdr, kBatchSize> m_messages{};
  std::size_t m_size = 0;
};

// Datagrams to be sent by one call. What is added as a view must live until
// Flush; prefixes are copied.
class SendBatch {
 public:
  SendBatch();
  SendBatch(const SendBatch&) = delete;
  SendBatch& operator=(const SendBatch&) = delete;

  bool IsFull() const { return m_size == m_messages.size(); }

  // Both parts together are one datagram. `prefix` is at most kPrefixBytes.
  void Add(base::Endpoint destination,
           std::span<const std::uint8_t> prefix,
           std::span<const std::uint8_t> bytes);
  // Sends all; returns how many the socket did not take.
  std::size_t Flush(int socket);

  static constexpr std::size_t kPrefixBytes = 120;

 private:
  struct Entry {
    std::array<std::uint8_t, kPrefixBytes> m_prefix;
    std::array<iovec, 2> m_vectors;
    sockaddr_in m_destination;
  };

  std::vector<Entry> m_entries;
  std::vector<mmsghdr> m_messages;
  std::size_t m_size = 0;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_DATAGRAM_BATCH_H_
