#include "LibWire/reset_builder.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

#include "LibWire/internet_checksum.h"
#include "LibWire/packet_view.h"

namespace wire {

namespace {

constexpr std::uint8_t kTimeToLive = 64;
constexpr std::uint8_t kHeaderWords = 5;

// The sum over the pseudo header of RFC 9293 section 3.1.
std::uint32_t PseudoHeaderSum(const PacketView& packet) {
  const std::uint32_t source = packet.source().m_address.value();
  const std::uint32_t destination = packet.destination().m_address.value();
  return (source >> 16) + (source & 0xffff) + (destination >> 16) +
         (destination & 0xffff) + IPPROTO_TCP + sizeof(tcphdr);
}

ip BuildIpHeader(const PacketView& packet) {
  ip header{};
  header.ip_v = IPVERSION;
  header.ip_hl = kHeaderWords;
  header.ip_len = htons(kResetBytes);
  header.ip_ttl = kTimeToLive;
  header.ip_p = IPPROTO_TCP;
  header.ip_src.s_addr = htonl(packet.destination().m_address.value());
  header.ip_dst.s_addr = htonl(packet.source().m_address.value());
  return header;
}

tcphdr BuildTcpHeader(const PacketView& packet) {
  tcphdr header{};
  header.th_sport = htons(packet.destination().m_port);
  header.th_dport = htons(packet.source().m_port);
  header.th_off = kHeaderWords;
  header.th_flags = TH_RST;
  if (packet.flags().m_acknowledge) {
    header.th_seq = htonl(packet.acknowledgement());
    return header;
  }
  const auto segment_length = static_cast<std::uint32_t>(
      packet.payload_bytes() + (packet.flags().m_synchronise ? 1 : 0) +
      (packet.flags().m_finish ? 1 : 0));
  header.th_flags |= TH_ACK;
  header.th_ack = htonl(packet.sequence() + segment_length);
  return header;
}

}  // namespace

ResetPacket BuildReset(const PacketView& packet) {
  ResetPacket bytes{};
  ip ip_header = BuildIpHeader(packet);
  tcphdr tcp_header = BuildTcpHeader(packet);
  std::memcpy(bytes.data(), &ip_header, sizeof(ip_header));
  std::memcpy(bytes.data() + sizeof(ip_header), &tcp_header,
              sizeof(tcp_header));

  const std::span<const std::uint8_t> view(bytes);
  ip_header.ip_sum = htons(InternetChecksum(view.first(sizeof(ip_header))));
  tcp_header.th_sum = htons(InternetChecksum(view.subspan(sizeof(ip_header)),
                                             PseudoHeaderSum(packet)));
  std::memcpy(bytes.data(), &ip_header, sizeof(ip_header));
  std::memcpy(bytes.data() + sizeof(ip_header), &tcp_header,
              sizeof(tcp_header));
  return bytes;
}

}  // namespace wire
