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
std::uint32_t PseudoHeaderSum(base::Endpoint from, base::Endpoint to) {
  const std::uint32_t source = from.m_address.value();
  const std::uint32_t destination = to.m_address.value();
  return (source >> 16) + (source & 0xffff) + (destination >> 16) +
         (destination & 0xffff) + IPPROTO_TCP + sizeof(tcphdr);
}

ip BuildIpHeader(base::Endpoint from, base::Endpoint to) {
  ip header{};
  header.ip_v = IPVERSION;
  header.ip_hl = kHeaderWords;
  header.ip_len = htons(kResetBytes);
  header.ip_ttl = kTimeToLive;
  header.ip_p = IPPROTO_TCP;
  header.ip_src.s_addr = htonl(from.m_address.value());
  header.ip_dst.s_addr = htonl(to.m_address.value());
  return header;
}

tcphdr BuildTcpHeader(base::Endpoint from, base::Endpoint to) {
  tcphdr header{};
  header.th_sport = htons(from.m_port);
  header.th_dport = htons(to.m_port);
  header.th_off = kHeaderWords;
  header.th_flags = TH_RST;
  return header;
}

// Concatenates the headers and fills in their checksums.
ResetPacket Assemble(base::Endpoint from,
                     base::Endpoint to,
                     tcphdr tcp_header) {
  ResetPacket bytes{};
  ip ip_header = BuildIpHeader(from, to);
  std::memcpy(bytes.data(), &ip_header, sizeof(ip_header));
  std::memcpy(bytes.data() + sizeof(ip_header), &tcp_header,
              sizeof(tcp_header));

  const std::span<const std::uint8_t> view(bytes);
  ip_header.ip_sum = htons(InternetChecksum(view.first(sizeof(ip_header))));
  tcp_header.th_sum = htons(InternetChecksum(view.subspan(sizeof(ip_header)),
                                             PseudoHeaderSum(from, to)));
  std::memcpy(bytes.data(), &ip_header, sizeof(ip_header));
  std::memcpy(bytes.data() + sizeof(ip_header), &tcp_header,
              sizeof(tcp_header));
  return bytes;
}

}  // namespace

ResetPacket BuildReset(const PacketView& packet) {
  const base::Endpoint from = packet.destination();
  const base::Endpoint to = packet.source();
  tcphdr header = BuildTcpHeader(from, to);
  if (packet.flags().m_acknowledge) {
    header.th_seq = htonl(packet.acknowledgement());
    return Assemble(from, to, header);
  }
  const auto segment_length = static_cast<std::uint32_t>(
      packet.payload_bytes() + (packet.flags().m_synchronise ? 1 : 0) +
      (packet.flags().m_finish ? 1 : 0));
  header.th_flags |= TH_ACK;
  header.th_ack = htonl(packet.sequence() + segment_length);
  return Assemble(from, to, header);
}

ResetPacket BuildAbort(const Abort& abort) {
  tcphdr header = BuildTcpHeader(abort.m_source, abort.m_destination);
  header.th_flags |= TH_ACK;
  header.th_seq = htonl(abort.m_sequence);
  header.th_ack = htonl(abort.m_acknowledgement);
  return Assemble(abort.m_source, abort.m_destination, header);
}

}  // namespace wire
