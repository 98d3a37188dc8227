#include "LibWire/relay_header.h"

#include <arpa/inet.h>
#include <endian.h>

#include <cstring>

#include "LibWire/wire_error.h"

namespace wire {

namespace {

constexpr std::size_t kServerOffset = 4;
constexpr std::size_t kSenderOffset = 8;

}  // namespace

std::array<std::uint8_t, kRelayHeaderBytes> EncodeRelayHeader(
    const RelayHeader& header) {
  std::array<std::uint8_t, kRelayHeaderBytes> bytes{
      kRelayMagic, kRelayVersion, header.m_purpose, header.m_hops};
  const std::uint32_t server = htonl(header.m_server.value());
  const std::uint64_t sender = htobe64(header.m_sender.value());
  std::memcpy(bytes.data() + kServerOffset, &server, sizeof(server));
  std::memcpy(bytes.data() + kSenderOffset, &sender, sizeof(sender));
  return bytes;
}

base::Outcome<RelayHeader> DecodeRelayHeader(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kRelayHeaderBytes)
    return WireError::kTruncated;
  if (bytes[0] != kRelayMagic)
    return WireError::kForeignRelay;
  if (bytes[1] != kRelayVersion)
    return WireError::kOtherRelayVersion;
  std::uint32_t server = 0;
  std::uint64_t sender = 0;
  std::memcpy(&server, bytes.data() + kServerOffset, sizeof(server));
  std::memcpy(&sender, bytes.data() + kSenderOffset, sizeof(sender));
  return RelayHeader{.m_purpose = bytes[2],
                     .m_hops = bytes[3],
                     .m_server = base::Ipv4Address(ntohl(server)),
                     .m_sender = base::BalancerId(be64toh(sender))};
}

}  // namespace wire
