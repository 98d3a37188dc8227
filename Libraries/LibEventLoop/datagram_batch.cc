#include "LibEventLoop/datagram_batch.h"

#include <arpa/inet.h>

#include <algorithm>

#include "LibBase/verify.h"

namespace event_loop {

namespace {

// One received packet can cause several datagrams, such as a refusal and a
// retry.
constexpr std::size_t kSendBatchSize = 2 * kBatchSize;

}  // namespace

ReceivedBatch::ReceivedBatch() : m_buffers(kBatchSize) {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    m_vectors[i] = {m_buffers[i].data(), m_buffers[i].size()};
    m_messages[i].msg_hdr.msg_iov = &m_vectors[i];
    m_messages[i].msg_hdr.msg_iovlen = 1;
    m_messages[i].msg_hdr.msg_name = &m_sources[i];
  }
}

std::span<const std::uint8_t> ReceivedBatch::Bytes(std::size_t index) const {
  return {m_buffers[index].data(), m_messages[index].msg_len};
}

base::Endpoint ReceivedBatch::Source(std::size_t index) const {
  const sockaddr_in& source = m_sources[index];
  return {base::Ipv4Address(ntohl(source.sin_addr.s_addr)),
          ntohs(source.sin_port)};
}

bool ReceivedBatch::Receive(int socket) {
  for (mmsghdr& message : m_messages)
    message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int received = recvmmsg(socket, m_messages.data(), m_messages.size(),
                                MSG_DONTWAIT, nullptr);
  m_size = static_cast<std::size_t>(std::max(received, 0));
  return m_size > 0;
}

SendBatch::SendBatch() : m_entries(kSendBatchSize), m_messages(kSendBatchSize) {
  for (std::size_t i = 0; i < kSendBatchSize; ++i) {
    m_messages[i].msg_hdr.msg_iov = m_entries[i].m_vectors.data();
    m_messages[i].msg_hdr.msg_iovlen = m_entries[i].m_vectors.size();
    m_messages[i].msg_hdr.msg_name = &m_entries[i].m_destination;
    m_messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
}

void SendBatch::Add(base::Endpoint destination,
                    std::span<const std::uint8_t> prefix,
                    std::span<const std::uint8_t> bytes) {
  VERIFY(!IsFull());
  VERIFY(prefix.size() <= kPrefixBytes);
  Entry& entry = m_entries[m_size++];
  std::copy(prefix.begin(), prefix.end(), entry.m_prefix.begin());
  entry.m_vectors[0] = {entry.m_prefix.data(), prefix.size()};
  // sendmmsg does not write through the vector.
  entry.m_vectors[1] = {const_cast<std::uint8_t*>(bytes.data()), bytes.size()};
  entry.m_destination = {};
  entry.m_destination.sin_family = AF_INET;
  entry.m_destination.sin_addr.s_addr = htonl(destination.m_address.value());
  entry.m_destination.sin_port = htons(destination.m_port);
}

std::size_t SendBatch::Flush(int socket) {
  std::size_t sent = 0;
  std::size_t failed = 0;
  while (sent < m_size) {
    const int result =
        sendmmsg(socket, m_messages.data() + sent,
                 static_cast<unsigned>(m_size - sent), MSG_DONTWAIT);
    // A datagram that the socket rejects is dropped, like one lost in the
    // network.
    const std::size_t step = result > 0 ? static_cast<std::size_t>(result) : 1;
    failed += result > 0 ? 0 : 1;
    sent += step;
  }
  m_size = 0;
  return failed;
}

}  // namespace event_loop
