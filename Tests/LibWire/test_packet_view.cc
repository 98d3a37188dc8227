#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "LibWire/internet_checksum.h"
#include "LibWire/packet_view.h"
#include "LibWire/reset_builder.h"
#include "LibWire/wire_error.h"

namespace {

constexpr std::uint8_t kSyn = 0x02;
constexpr std::uint8_t kAck = 0x10;
constexpr std::size_t kIpHeaderBytes = 20;
constexpr std::size_t kFlagsOffset = kIpHeaderBytes + 13;

// A segment from 127.32.0.1:4000 to 127.48.0.1:80, sequence number 1000,
// acknowledgement 2000.
std::vector<std::uint8_t> MakeSegment(std::uint8_t flags) {
  std::vector<std::uint8_t> bytes = {
      0x45, 0, 0,    40,   0,    0,     0,    0,    64, 6,  0, 0, 127,  32,
      0,    1, 127,  48,   0,    1,     0x0f, 0xa0, 0,  80, 0, 0, 0x03, 0xe8,
      0,    0, 0x07, 0xd0, 0x50, flags, 0,    0,    0,  0,  0, 0};
  const std::uint16_t checksum =
      wire::InternetChecksum(std::span(bytes).first(kIpHeaderBytes));
  bytes[10] = static_cast<std::uint8_t>(checksum >> 8);
  bytes[11] = static_cast<std::uint8_t>(checksum);
  return bytes;
}

}  // namespace

TEST_CASE("a parsed segment has its addresses, sequence number and flags") {
  const auto bytes = MakeSegment(kSyn);

  const auto packet = wire::PacketView::Parse(bytes);

  REQUIRE(packet);
  CHECK(base::ToString(packet.value().source()) == "127.32.0.1:4000");
  CHECK(base::ToString(packet.value().destination()) == "127.48.0.1:80");
  CHECK(packet.value().sequence() == 1000);
  CHECK(packet.value().flags().m_synchronise);
  CHECK_FALSE(packet.value().flags().m_acknowledge);
}

TEST_CASE("each kind of malformed packet has its own error") {
  const auto error_of = [](std::vector<std::uint8_t> bytes) {
    return wire::PacketView::Parse(bytes).error();
  };
  auto truncated = MakeSegment(kSyn);
  truncated.pop_back();
  CHECK(error_of(truncated) == wire::WireError::kTruncated);
  CHECK(error_of({}) == wire::WireError::kTruncated);
  CHECK(error_of(std::vector<std::uint8_t>(1501, 0x45)) ==
        wire::WireError::kOversized);
  auto version_six = MakeSegment(kSyn);
  version_six[0] = 0x65;
  CHECK(error_of(version_six) == wire::WireError::kNotIpv4);
  auto damaged = MakeSegment(kSyn);
  damaged[12] ^= 1;
  CHECK(error_of(damaged) == wire::WireError::kBadChecksum);
}

TEST_CASE("the reset for an opening has ACK and sequence number zero") {
  const auto bytes = MakeSegment(kSyn);
  const auto packet = wire::PacketView::Parse(bytes);
  REQUIRE(packet);

  const wire::ResetPacket reset = wire::BuildReset(packet.value());

  const auto parsed = wire::PacketView::Parse(reset);
  REQUIRE(parsed);
  CHECK(parsed.value().flags().m_reset);
  CHECK(parsed.value().flags().m_acknowledge);
  CHECK(parsed.value().sequence() == 0);
  CHECK(parsed.value().acknowledgement() == 1001);
  CHECK(parsed.value().destination() == packet.value().source());
}

TEST_CASE("the reset for a segment with ACK has no ACK") {
  const auto bytes = MakeSegment(kAck);
  const auto packet = wire::PacketView::Parse(bytes);
  REQUIRE(packet);

  const wire::ResetPacket reset = wire::BuildReset(packet.value());

  const auto parsed = wire::PacketView::Parse(reset);
  REQUIRE(parsed);
  CHECK_FALSE(parsed.value().flags().m_acknowledge);
  CHECK(parsed.value().sequence() == 2000);
  CHECK(reset[kFlagsOffset] == 0x04);
}

TEST_CASE("an abort has the given sequence and acknowledgement numbers") {
  const base::Endpoint caller{base::Ipv4Address(9), 1000};
  const base::Endpoint service{base::Ipv4Address(200), 443};

  const auto abort = wire::BuildAbort({service, caller, 0xfffffff0U, 7});

  const auto parsed = wire::PacketView::Parse(abort);
  REQUIRE(parsed);
  CHECK(parsed.value().source() == service);
  CHECK(parsed.value().destination() == caller);
  CHECK(parsed.value().flags().m_reset);
  CHECK(parsed.value().flags().m_acknowledge);
  CHECK(parsed.value().sequence() == 0xfffffff0U);
  CHECK(parsed.value().acknowledgement() == 7);
}

TEST_CASE("a packet parsed from random bytes stays within its buffer") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& bytes) {
    const auto packet = wire::PacketView::Parse(bytes);
    if (packet)
      RC_ASSERT(packet.value().bytes().size() <= bytes.size());
  }));
}

TEST_CASE(
    "a packet with a changed byte is rejected or stays within its buffer") {
  CHECK(rc::check([](std::uint8_t position, std::uint8_t value) {
    auto bytes = MakeSegment(kAck);
    bytes[position % bytes.size()] = value;
    const auto packet = wire::PacketView::Parse(bytes);
    if (packet) {
      RC_ASSERT(packet.value().payload_bytes() <= bytes.size());
      wire::BuildReset(packet.value());
    }
  }));
}
