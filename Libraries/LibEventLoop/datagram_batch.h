// Receives and sends UDP datagrams in batches (recvmmsg, sendmmsg).

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

// The most datagrams that one call of ReceivedBatch::Receive receives.
inline constexpr std::size_t kBatchSize = 64;
// The longest datagram that is accepted: a relayed packet with its header.
inline constexpr std::size_t kMaximumDatagramBytes =
    wire::kRelayHeaderBytes + wire::kMaximumPacketBytes;

// The datagrams received by one call of Receive; valid until the next call.
class ReceivedBatch {
 public:
  ReceivedBatch();
  ReceivedBatch(const ReceivedBatch&) = delete;
  ReceivedBatch& operator=(const ReceivedBatch&) = delete;

  std::size_t size() const { return m_size; }
  std::span<const std::uint8_t> Bytes(std::size_t index) const;
  base::Endpoint Source(std::size_t index) const;

  // Receives at most kBatchSize of the datagrams that have arrived. Returns
  // false if none has.
  bool Receive(int socket);

 private:
  // One byte longer than the longest datagram that is accepted, so that a
  // longer datagram can be recognised.
  using Buffer = std::array<std::uint8_t, kMaximumDatagramBytes + 1>;

  std::vector<Buffer> m_buffers;
  std::array<sockaddr_in, kBatchSize> m_sources{};
  std::array<iovec, kBatchSize> m_vectors{};
  std::array<mmsghdr, kBatchSize> m_messages{};
  std::size_t m_size = 0;
};

// Datagrams that one call of Flush sends. The `bytes` passed to Add must stay
// valid until Flush; prefixes are copied.
class SendBatch {
 public:
  SendBatch();
  SendBatch(const SendBatch&) = delete;
  SendBatch& operator=(const SendBatch&) = delete;

  bool IsFull() const { return m_size == m_messages.size(); }

  // Adds one datagram that consists of `prefix`, at most kPrefixBytes long, and
  // `bytes`. The batch must not be full.
  void Add(base::Endpoint destination,
           std::span<const std::uint8_t> prefix,
           std::span<const std::uint8_t> bytes);
  // Sends all datagrams. Returns the number that the socket rejected.
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
