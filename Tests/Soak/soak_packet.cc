#include "soak_packet.h"

#include "LibBase/hash.h"

namespace soak {

namespace {

constexpr std::size_t kHeaderBytes = 31;
// Known to callers and servers, but not to the balancers.
constexpr std::uint64_t kChecksumKey = 0x5eed5a1ad0c0ffeeULL;

template <typename Integer>
void Append(std::vector<std::uint8_t>& bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(Integer); ++i)
    bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

template <typename Integer>
Integer Read(std::span<const std::uint8_t>& bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i)
    value |= std::uint64_t{bytes[i]} << (8 * i);
  bytes = bytes.subspan(sizeof(Integer));
  return static_cast<Integer>(value);
}

std::uint32_t ComputeChecksum(const SoakPacket& packet) {
  std::uint64_t sum = kChecksumKey;
  for (const std::uint64_t part :
       {flow::HashEndpoint(packet.m_source),
        flow::HashEndpoint(packet.m_destination), std::uint64_t{packet.m_flags},
        std::uint64_t{packet.m_sequence},
        std::uint64_t{packet.m_acknowledgement},
        base::HashString(packet.m_payload)})
    sum = base::CombineHashes(sum, part);
  return static_cast<std::uint32_t>(sum) | 1U;
}

}  // namespace

bool SoakPacket::HasValidChecksum() const {
  return m_checksum == ComputeChecksum(*this);
}

std::vector<std::uint8_t> Encode(const SoakPacket& packet) {
  std::vector<std::uint8_t> bytes;
  Append(bytes, packet.m_source.m_port);
  Append(bytes, packet.m_source.m_address.value());
  Append(bytes, packet.m_destination.m_port);
  Append(bytes, packet.m_destination.m_address.value());
  Append(bytes, ComputeChecksum(packet));
  Append(bytes, packet.m_token);
  Append(bytes, packet.m_flags);
  Append(bytes, static_cast<std::uint16_t>(packet.m_payload.size()));
  Append(bytes, packet.m_sequence);
  Append(bytes, packet.m_acknowledgement);
  bytes.insert(bytes.end(), packet.m_payload.begin(), packet.m_payload.end());
  return bytes;
}

std::optional<SoakPacket> Decode(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes)
    return std::nullopt;
  SoakPacket packet;
  packet.m_source.m_port = Read<std::uint16_t>(bytes);
  packet.m_source.m_address = base::Ipv4Address(Read<std::uint32_t>(bytes));
  packet.m_destination.m_port = Read<std::uint16_t>(bytes);
  packet.m_destination.m_address =
      base::Ipv4Address(Read<std::uint32_t>(bytes));
  packet.m_checksum = Read<std::uint32_t>(bytes);
  packet.m_token = Read<std::uint32_t>(bytes);
  packet.m_flags = Read<std::uint8_t>(bytes);
  const auto length = Read<std::uint16_t>(bytes);
  packet.m_sequence = Read<std::uint32_t>(bytes);
  packet.m_acknowledgement = Read<std::uint32_t>(bytes);
  if (bytes.size() != length)
    return std::nullopt;
  packet.m_payload.assign(bytes.begin(), bytes.end());
  return packet;
}

}  // namespace soak
