#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include "StandIns/tcp_packet.h"

using stand_ins::BuildPacket;
using stand_ins::ParsePacket;
using stand_ins::TcpPacket;
using stand_ins::TcpSegment;

namespace {

std::vector<std::uint8_t> AsBytes(const std::string& text) {
  return {text.begin(), text.end()};
}

TcpPacket MakePacket(const std::string& payload) {
  TcpPacket packet;
  packet.m_source = *base::ParseEndpoint("127.32.0.1:4000");
  packet.m_destination = *base::ParseEndpoint("127.64.0.1:80");
  packet.m_segment.m_sequence = 0xfedcba98;
  packet.m_segment.m_acknowledgment = 0x12345678;
  packet.m_segment.m_ack = true;
  packet.m_segment.m_fin = true;
  packet.m_segment.m_window = 65535;
  packet.m_segment.m_payload = payload;
  return packet;
}

}  // namespace

TEST_CASE("a parsed packet equals the built one, for odd and even lengths") {
  for (const std::size_t size : {0U, 1U, 2U, 1399U, 1400U}) {
    const TcpPacket packet = MakePacket(std::string(size, 'x'));

    const auto parsed = ParsePacket(AsBytes(BuildPacket(packet)));

    REQUIRE(parsed);
    CHECK(parsed->m_source == packet.m_source);
    CHECK(parsed->m_destination == packet.m_destination);
    CHECK(parsed->m_segment.m_sequence == packet.m_segment.m_sequence);
    CHECK(parsed->m_segment.m_acknowledgment ==
          packet.m_segment.m_acknowledgment);
    CHECK(parsed->m_segment.m_ack);
    CHECK(parsed->m_segment.m_fin);
    CHECK_FALSE(parsed->m_segment.m_syn);
    CHECK_FALSE(parsed->m_segment.m_rst);
    CHECK(parsed->m_segment.m_payload == packet.m_segment.m_payload);
  }
}

TEST_CASE("headers and checksums match those of libtins, options are skipped") {
  Tins::IP ip("127.64.0.1", "127.32.0.1");
  Tins::TCP tcp(80, 4000);
  tcp.seq(77);
  tcp.ack_seq(88);
  tcp.window(65535);
  tcp.flags(Tins::TCP::ACK | Tins::TCP::PSH);
  Tins::IP plain = ip / tcp / Tins::RawPDU("payload");
  tcp.mss(1400);
  Tins::IP with_options = ip / tcp / Tins::RawPDU("payload");

  const auto parsed = ParsePacket(with_options.serialize());
  const auto parsed_plain = ParsePacket(plain.serialize());

  REQUIRE(parsed);
  CHECK(parsed->m_segment.m_payload == "payload");
  REQUIRE(parsed_plain);
  const std::string rebuilt = BuildPacket(*parsed_plain);
  const Tins::IP reread(reinterpret_cast<const std::uint8_t*>(rebuilt.data()),
                        rebuilt.size());
  CHECK(reread.rfind_pdu<Tins::TCP>().checksum() ==
        plain.rfind_pdu<Tins::TCP>().checksum());
}

TEST_CASE("a packet with a changed byte or a cut end is rejected") {
  const auto intact = AsBytes(BuildPacket(MakePacket("some payload")));
  for (std::size_t index = 0; index < intact.size(); ++index) {
    CAPTURE(index);
    auto changed = intact;
    changed[index] ^= 0x5a;
    CHECK_FALSE(ParsePacket(changed));
    CHECK_FALSE(ParsePacket(std::span(intact).first(index)));
  }
}

TEST_CASE("a segment without a connection causes the reset of RFC 9293") {
  TcpSegment segment;
  segment.m_sequence = 100;
  segment.m_syn = true;
  const auto to_opening = stand_ins::ResetForNoConnection(segment);
  REQUIRE(to_opening);
  CHECK(to_opening->m_rst);
  CHECK(to_opening->m_ack);
  CHECK(to_opening->m_sequence == 0);
  CHECK(to_opening->m_acknowledgment == 101);

  segment.m_syn = false;
  segment.m_ack = true;
  segment.m_acknowledgment = 4711;
  const auto to_acknowledgment = stand_ins::ResetForNoConnection(segment);
  REQUIRE(to_acknowledgment);
  CHECK(to_acknowledgment->m_rst);
  CHECK_FALSE(to_acknowledgment->m_ack);
  CHECK(to_acknowledgment->m_sequence == 4711);

  segment.m_rst = true;
  CHECK_FALSE(stand_ins::ResetForNoConnection(segment));
}
