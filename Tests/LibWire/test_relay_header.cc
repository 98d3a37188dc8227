#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibWire/relay_header.h"
#include "LibWire/wire_error.h"

TEST_CASE("a relay header has the same fields after encoding and decoding") {
  CHECK(rc::check([](std::uint8_t purpose, std::uint8_t hops,
                     std::uint32_t server, std::uint64_t sender) {
    const wire::RelayHeader header{purpose, hops, base::Ipv4Address(server),
                                   base::BalancerId(sender)};

    const auto decoded =
        wire::DecodeRelayHeader(wire::EncodeRelayHeader(header));

    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().m_purpose == purpose);
    RC_ASSERT(decoded.value().m_hops == hops);
    RC_ASSERT(decoded.value().m_server == header.m_server);
    RC_ASSERT(decoded.value().m_sender == header.m_sender);
  }));
}

TEST_CASE("foreign, truncated and newer relay headers have different errors") {
  auto bytes = wire::EncodeRelayHeader({});

  CHECK(wire::DecodeRelayHeader(std::span(bytes).first(15)).error() ==
        wire::WireError::kTruncated);
  bytes[1] = 99;
  CHECK(wire::DecodeRelayHeader(bytes).error() ==
        wire::WireError::kOtherRelayVersion);
  bytes[0] = 0x45;
  CHECK(wire::DecodeRelayHeader(bytes).error() ==
        wire::WireError::kForeignRelay);
}
