#include "LibWire/packet_view.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

#include "LibWire/internet_checksum.h"
#include "LibWire/wire_error.h"

namespace wire {

namespace {

constexpr std::size_t kWordBytes = 4;
constexpr std::uint16_t kFragmentMask = IP_MF | IP_OFFMASK;

base::Outcome<ip> ParseIpHeader(std::span<const std::uint8_t> bytes) {
  ip header;
  if (bytes.size() < sizeof(header))
    return WireError::kTruncated;
  if (bytes.size() > kMaximumPacketBytes)
    return WireError::kOversized;
  std::memcpy(&header, bytes.data(), sizeof(header));
  if (header.ip_v != IPVERSION)
    return WireError::kNotIpv4;
  const std::size_t header_bytes = header.ip_hl * kWordBytes;
  if (header_bytes < sizeof(header))
    return WireError::kBadHeaderLength;
  const std::size_t total_bytes = ntohs(header.ip_len);
  if (header_bytes > total_bytes || total_bytes > bytes.size())
    return WireError::kTruncated;
  if (InternetChecksum(bytes.first(header_bytes)) != 0)
    return WireError::kBadChecksum;
  if ((ntohs(header.ip_off) & kFragmentMask) != 0)
    return WireError::kFragment;
  if (header.ip_p != IPPROTO_TCP)
    return WireError::kNotTcp;
  return header;
}

}  // namespace

base::Outcome<PacketView> PacketView::Parse(
    std::span<const std::uint8_t> bytes) {
  TRY(header, ParseIpHeader(bytes));

  const std::size_t header_bytes = header.ip_hl * kWordBytes;
  const auto segment =
      bytes.subspan(header_bytes, ntohs(header.ip_len) - header_bytes);
  tcphdr tcp;
  if (segment.size() < sizeof(tcp))
    return WireError::kTruncated;
  std::memcpy(&tcp, segment.data(), sizeof(tcp));
  const std::size_t tcp_header_bytes = tcp.th_off * kWordBytes;
  if (tcp_header_bytes < sizeof(tcp))
    return WireError::kBadHeaderLength;
  if (tcp_header_bytes > segment.size())
    return WireError::kTruncated;

  PacketView view;
  view.m_bytes = bytes.first(ntohs(header.ip_len));
  view.m_source = {base::Ipv4Address(ntohl(header.ip_src.s_addr)),
                   ntohs(tcp.th_sport)};
  view.m_destination = {base::Ipv4Address(ntohl(header.ip_dst.s_addr)),
                        ntohs(tcp.th_dport)};
  view.m_flags = {.m_finish = (tcp.th_flags & TH_FIN) != 0,
                  .m_synchronise = (tcp.th_flags & TH_SYN) != 0,
                  .m_reset = (tcp.th_flags & TH_RST) != 0,
                  .m_acknowledge = (tcp.th_flags & TH_ACK) != 0};
  view.m_sequence = ntohl(tcp.th_seq);
  view.m_acknowledgement = ntohl(tcp.th_ack);
  view.m_window = ntohs(tcp.th_win);
  view.m_payload_bytes = segment.size() - tcp_header_bytes;
  return view;
}

}  // namespace wire
