#include <doctest/doctest.h>

#include <algorithm>
#include <ostream>
#include <vector>

#include "LibBase/random.h"
#include "platform/packet_codec.h"

namespace adapter {

namespace {

// Examples from the documentation of the platform.
const std::vector<std::uint8_t> kOpening = {
    0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01, 0x01, 0x00, 0x12,
    0xc6, 0xd5, 0xc3, 0xb2, 0xa1, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00,
    0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00};
const std::vector<std::uint8_t> kReset = {
    0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6, 0x41, 0x9c, 0x07, 0x00, 0x40,
    0x64, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

}  // namespace

TEST_CASE("the example of an opening is decoded") {
  const auto packet = DecodePacket(kOpening);

  REQUIRE(packet);
  CHECK(ToString(packet.value().m_flow.m_caller) == "100.64.0.7:40001");
  CHECK(ToString(packet.value().m_flow.m_service) == "198.18.0.1:443");
  CHECK(packet.value().m_is_opening);
  CHECK(packet.value().m_sequence == 0x11223344);
  CHECK(packet.value().m_token == steering::FlowToken(0));
}

TEST_CASE(
    "a reset of the example's flow is encoded like the example of a reset") {
  const auto packet = DecodePacket(kOpening);
  REQUIRE(packet);

  const PacketHeader reset = EncodeReset(packet.value().m_flow, 0);

  CHECK(std::equal(reset.begin(), reset.end(), kReset.begin(), kReset.end()));
}

TEST_CASE("writing a token changes no other byte of the header") {
  const PacketHeader header =
      MakeHeaderWithToken(kOpening, steering::FlowToken(0xA1B2C3D4));

  for (std::size_t offset = 0; offset < kPacketHeaderBytes; ++offset) {
    if (offset < 16 || offset >= 20)
      CHECK(header[offset] == kOpening[offset]);
  }
  const auto packet = DecodePacket(header);
  REQUIRE(packet);
  CHECK(packet.value().m_token == steering::FlowToken(0xA1B2C3D4));
}

TEST_CASE("the identity that precedes a packet is big-endian") {
  CHECK(EncodeIdentity(steering::WireIdentity(0x7f3a91c2)) ==
        IdentityPrefix{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
}

TEST_CASE("datagrams that are not packets are refused with a reason") {
  std::vector<std::uint8_t> bytes = kOpening;
  bytes.pop_back();
  CHECK(DecodePacket(bytes).error() == PacketError::kTruncated);

  bytes = kOpening;
  bytes.push_back(0);
  CHECK(DecodePacket(bytes).error() == PacketError::kWrongLength);

  bytes = kOpening;
  bytes[20] = 0x20;
  CHECK(DecodePacket(bytes).error() == PacketError::kUnknownFlags);

  bytes.assign(kPacketHeaderBytes + kMaximumPayloadBytes + 1, 0);
  CHECK(DecodePacket(bytes).error() == PacketError::kOversized);
}

TEST_CASE("a packet with SYN and ACK is not an opening") {
  std::vector<std::uint8_t> bytes = kOpening;
  bytes[20] = 3;

  const auto packet = DecodePacket(bytes);

  REQUIRE(packet);
  CHECK_FALSE(packet.value().m_is_opening);
}

TEST_CASE(
    "random datagrams are refused, or their decoded payload length fits their "
    "size") {
  base::Random random(5);
  for (int round = 0; round < 20'000; ++round) {
    std::vector<std::uint8_t> bytes(random.Below(80));
    for (std::uint8_t& byte : bytes)
      byte = static_cast<std::uint8_t>(random.Next());
    const auto packet = DecodePacket(bytes);
    if (packet)
      CHECK(packet.value().m_payload_bytes + kPacketHeaderBytes ==
            bytes.size());
  }
}

}  // namespace adapter
