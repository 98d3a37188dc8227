#include "StandIns/tcp_packet.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

#include "LibBase/verify.h"

namespace stand_ins {

namespace {

constexpr std::size_t kIpHeaderBytes = sizeof(iphdr);
constexpr std::size_t kTcpHeaderBytes = sizeof(tcphdr);
constexpr std::size_t kBytesPerHeaderWord = 4;
constexpr std::uint8_t kTimeToLive = 64;
constexpr std::uint16_t kFragmentMask = 0x3fff;

// Adds big-endian 16-bit words (RFC 1071).
std::uint32_t SumWords(std::span<const std::uint8_t> bytes, std::uint32_t sum) {
  std::size_t index = 0;
  for (; index + 1 < bytes.size(); index += 2)
    sum += (std::uint32_t{bytes[index]} << 8) | bytes[index + 1];
  if (index < bytes.size())
    sum += std::uint32_t{bytes[index]} << 8;
  return sum;
}

std::uint16_t FoldChecksum(std::uint32_t sum) {
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

// Computes the checksum over the pseudo header and the segment. The result is 0
// for an intact segment that contains its checksum.
std::uint16_t TcpChecksum(const iphdr& ip,
                          std::span<const std::uint8_t> segment) {
  const std::uint32_t source = ntohl(ip.saddr);
  const std::uint32_t destination = ntohl(ip.daddr);
  std::uint32_t sum = (source >> 16) + (source & 0xffff) + (destination >> 16) +
                      (destination & 0xffff) + IPPROTO_TCP +
                      static_cast<std::uint32_t>(segment.size());
  return FoldChecksum(SumWords(segment, sum));
}

iphdr MakeIpHeader(const TcpPacket& packet, std::size_t total_bytes) {
  iphdr ip{};
  ip.version = IPVERSION;
  ip.ihl = kIpHeaderBytes / kBytesPerHeaderWord;
  ip.tot_len = htons(static_cast<std::uint16_t>(total_bytes));
  ip.ttl = kTimeToLive;
  ip.protocol = IPPROTO_TCP;
  ip.saddr = htonl(packet.m_source.m_address.value());
  ip.daddr = htonl(packet.m_destination.m_address.value());
  return ip;
}

tcphdr MakeTcpHeader(const TcpPacket& packet) {
  const TcpSegment& segment = packet.m_segment;
  tcphdr tcp{};
  tcp.th_sport = htons(packet.m_source.m_port);
  tcp.th_dport = htons(packet.m_destination.m_port);
  tcp.th_seq = htonl(segment.m_sequence);
  tcp.th_ack = htonl(segment.m_ack ? segment.m_acknowledgment : 0);
  tcp.th_off = kTcpHeaderBytes / kBytesPerHeaderWord;
  tcp.syn = segment.m_syn;
  tcp.ack = segment.m_ack;
  tcp.fin = segment.m_fin;
  tcp.rst = segment.m_rst;
  tcp.psh = !segment.m_payload.empty();
  tcp.th_win = htons(segment.m_window);
  return tcp;
}

// Returns the IP header, or nullopt unless the packet is unfragmented TCP with
// a correct header checksum and length.
std::optional<iphdr> ReadIpHeader(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kIpHeaderBytes || bytes.size() > kMaximumPacketBytes)
    return std::nullopt;
  iphdr ip{};
  std::memcpy(&ip, bytes.data(), kIpHeaderBytes);
  const std::size_t header_bytes = ip.ihl * kBytesPerHeaderWord;
  const bool sizes_fit = header_bytes >= kIpHeaderBytes &&
                         header_bytes + kTcpHeaderBytes <= bytes.size() &&
                         ntohs(ip.tot_len) == bytes.size();
  if (ip.version != IPVERSION || ip.protocol != IPPROTO_TCP || !sizes_fit ||
      (ntohs(ip.frag_off) & kFragmentMask) != 0)
    return std::nullopt;
  if (FoldChecksum(SumWords(bytes.first(header_bytes), 0)) != 0)
    return std::nullopt;
  return ip;
}

}  // namespace

std::string BuildPacket(const TcpPacket& packet) {
  const std::string& payload = packet.m_segment.m_payload;
  VERIFY(payload.size() <= kMaximumSegmentBytes);
  const std::size_t total = kIpHeaderBytes + kTcpHeaderBytes + payload.size();
  iphdr ip = MakeIpHeader(packet, total);
  tcphdr tcp = MakeTcpHeader(packet);
  std::string bytes(total, '\0');
  auto* data = reinterpret_cast<std::uint8_t*>(bytes.data());
  const std::span<std::uint8_t> all(data, total);
  const auto ip_part = all.first(kIpHeaderBytes);
  const auto tcp_part = all.subspan(kIpHeaderBytes);

  std::memcpy(ip_part.data(), &ip, kIpHeaderBytes);
  ip.check = htons(FoldChecksum(SumWords(ip_part, 0)));
  std::memcpy(ip_part.data(), &ip, kIpHeaderBytes);

  std::memcpy(tcp_part.data(), &tcp, kTcpHeaderBytes);
  std::memcpy(tcp_part.data() + kTcpHeaderBytes, payload.data(),
              payload.size());
  tcp.th_sum = htons(TcpChecksum(ip, tcp_part));
  std::memcpy(tcp_part.data(), &tcp, kTcpHeaderBytes);
  return bytes;
}

std::optional<TcpPacket> ParsePacket(std::span<const std::uint8_t> bytes) {
  const auto ip = ReadIpHeader(bytes);
  if (!ip)
    return std::nullopt;
  const auto tcp_part = bytes.subspan(ip->ihl * kBytesPerHeaderWord);
  if (TcpChecksum(*ip, tcp_part) != 0)
    return std::nullopt;
  tcphdr tcp{};
  std::memcpy(&tcp, tcp_part.data(), kTcpHeaderBytes);
  const std::size_t header_bytes = tcp.th_off * kBytesPerHeaderWord;
  if (header_bytes < kTcpHeaderBytes || header_bytes > tcp_part.size())
    return std::nullopt;

  TcpPacket packet;
  packet.m_source = {base::Ipv4Address(ntohl(ip->saddr)), ntohs(tcp.th_sport)};
  packet.m_destination = {base::Ipv4Address(ntohl(ip->daddr)),
                          ntohs(tcp.th_dport)};
  TcpSegment& segment = packet.m_segment;
  segment.m_sequence = ntohl(tcp.th_seq);
  segment.m_acknowledgment = ntohl(tcp.th_ack);
  segment.m_syn = tcp.syn != 0;
  segment.m_ack = tcp.ack != 0;
  segment.m_fin = tcp.fin != 0;
  segment.m_rst = tcp.rst != 0;
  segment.m_window = ntohs(tcp.th_win);
  const auto payload = tcp_part.subspan(header_bytes);
  segment.m_payload.assign(payload.begin(), payload.end());
  return packet;
}

std::optional<base::Ipv4Address> DestinationOf(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kIpHeaderBytes)
    return std::nullopt;
  iphdr ip{};
  std::memcpy(&ip, bytes.data(), kIpHeaderBytes);
  if (ip.version != IPVERSION)
    return std::nullopt;
  return base::Ipv4Address(ntohl(ip.daddr));
}

std::optional<TcpSegment> ResetForNoConnection(const TcpSegment& segment) {
  if (segment.m_rst)
    return std::nullopt;
  TcpSegment reset;
  reset.m_rst = true;
  if (segment.m_ack) {
    reset.m_sequence = segment.m_acknowledgment;
    return reset;
  }
  reset.m_ack = true;
  reset.m_acknowledgment = segment.m_sequence + segment.Length();
  return reset;
}

TcpSegment RefusalOfOpening(const TcpSegment& syn) {
  TcpSegment reset;
  reset.m_rst = true;
  reset.m_ack = true;
  reset.m_acknowledgment = syn.m_sequence + syn.Length();
  return reset;
}

}  // namespace stand_ins
