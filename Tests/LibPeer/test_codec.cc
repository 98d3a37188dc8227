#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibPeer/codec.h"
#include "LibPeer/codec_error.h"
#include "LibPeer/limits.h"
#include "LibPeer/message.h"

namespace {

using peer::CodecError;
using peer::Transport;

std::string MakeText(std::size_t maximum_bytes) {
  const auto size = *rc::gen::inRange<std::size_t>(0, maximum_bytes + 1);
  return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

base::Endpoint MakeEndpoint() {
  return {base::Ipv4Address(*rc::gen::arbitrary<std::uint32_t>()),
          *rc::gen::arbitrary<std::uint16_t>()};
}

std::uint64_t MakeNumber() {
  return *rc::gen::arbitrary<std::uint64_t>();
}

peer::MemberState MakeState() {
  return static_cast<peer::MemberState>(*rc::gen::inRange(0, 5));
}

peer::ConfigurationStatus MakeStatus() {
  peer::ConfigurationStatus status{base::ConfigurationVersion(MakeNumber()),
                                   std::nullopt};
  if (*rc::gen::arbitrary<bool>())
    status.m_confirmation_age =
        std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
  return status;
}

peer::MemberRecord MakeRecord() {
  return {base::BalancerId(MakeNumber()),
          MakeText(peer::kMaximumNameBytes),
          base::DataCentreId(MakeText(peer::kMaximumNameBytes)),
          MakeEndpoint(),
          MakeEndpoint(),
          MakeEndpoint(),
          MakeState(),
          MakeNumber(),
          MakeStatus()};
}

peer::MessageBody MakeBody() {
  const auto sequence = *rc::gen::arbitrary<std::uint32_t>();
  const base::BalancerId id(MakeNumber());
  const base::ConfigurationVersion version(MakeNumber());
  std::vector<peer::LoadEntry> load(
      *rc::gen::inRange<std::size_t>(0, peer::kMaximumLoadEntries + 1),
      peer::LoadEntry{sequence, 7});
  const auto scope = static_cast<peer::BurnScope>(*rc::gen::inRange(0, 2));
  std::vector<peer::ServiceBurn> burn(
      *rc::gen::inRange<std::size_t>(0, peer::kMaximumBurnServices + 1),
      peer::ServiceBurn{MakeText(peer::kMaximumNameBytes),
                        {MakeNumber(), MakeNumber()}});
  const std::chrono::milliseconds counting(*rc::gen::inRange(0, 100'000));
  std::vector<peer::WatchedStream> streams(
      *rc::gen::inRange<std::size_t>(0, peer::kMaximumWatchedStreams + 1),
      peer::WatchedStream{MakeNumber(), sequence, 1});
  std::vector<peer::StreamReport> reports(streams.size(),
                                          peer::StreamReport{0x83, 9, 1400});
  const std::vector<peer::MessageBody> bodies{
      peer::Heartbeat{},
      peer::Ping{sequence, *rc::gen::arbitrary<bool>()},
      peer::Ack{sequence},
      peer::PingRequest{sequence, MakeEndpoint()},
      peer::Leave{},
      peer::MembersRequest{id},
      peer::MembersReply{id},
      peer::LoadDigest{std::move(load)},
      peer::DocumentRequest{version},
      peer::DocumentReply{version, MakeText(300)},
      peer::BurnRequest{scope},
      peer::BurnReply{sequence,
                      7,
                      counting,
                      {MakeText(peer::kMaximumNameBytes)},
                      std::move(burn)},
      peer::FlowWatchRequest{sequence, std::move(streams)},
      peer::FlowWatchReply{sequence, std::move(reports)}};
  return *rc::gen::elementOf(bodies);
}

peer::Message MakeMessage() {
  peer::Message message{
      {base::BalancerId(MakeNumber()), MakeState(), MakeNumber(), MakeStatus(),
       *rc::gen::arbitrary<std::uint32_t>()},
      MakeBody(),
      {}};
  const int updates = *rc::gen::inRange(0, 4);
  for (int update = 0; update < updates; ++update)
    message.m_updates.push_back(MakeRecord());
  return message;
}

std::string EncodeForStream(const peer::Message& message) {
  return peer::Encode(Transport::kStream, message).value();
}

}  // namespace

TEST_CASE("every message is decoded as it was encoded") {
  CHECK(rc::check([] {
    const peer::Message message = MakeMessage();

    const auto decoded =
        peer::Decode(Transport::kStream, EncodeForStream(message));

    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value() == message);
  }));
}

TEST_CASE("a truncated frame is reported as kTruncated") {
  CHECK(rc::check([] {
    const std::string frame = EncodeForStream(MakeMessage());
    const auto size = *rc::gen::inRange<std::size_t>(0, frame.size());

    const auto decoded =
        peer::Decode(Transport::kStream, frame.substr(0, size));

    RC_ASSERT(decoded.error() == CodecError::kTruncated);
  }));
}

TEST_CASE("a mutated frame never crashes the decoder") {
  CHECK(rc::check([] {
    std::string frame = EncodeForStream(MakeMessage());
    const int mutations = *rc::gen::inRange(1, 6);
    for (int mutation = 0; mutation < mutations; ++mutation) {
      const auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
      frame[position] = *rc::gen::arbitrary<char>();
    }
    for (const auto transport : {Transport::kDatagram, Transport::kStream}) {
      const auto decoded = peer::Decode(transport, frame);
      if (decoded)
        RC_ASSERT(peer::Encode(transport, decoded.value()).has_value());
    }
  }));
}

TEST_CASE(
    "another protocol, another version and trailing bytes are distinguished") {
  std::string frame = EncodeForStream({{}, peer::Heartbeat{}, {}});

  std::string wrong_magic = frame;
  wrong_magic[1] = 'x';
  std::string other_version = frame;
  other_version[2] = 99;

  CHECK(peer::Decode(Transport::kStream, wrong_magic).error() ==
        CodecError::kWrongMagic);
  CHECK(peer::Decode(Transport::kStream, other_version).error() ==
        CodecError::kUnsupportedVersion);
  CHECK(peer::Decode(Transport::kStream, frame + "x").error() ==
        CodecError::kMalformed);
}

TEST_CASE(
    "an excessive length is refused before the decoder allocates memory") {
  std::string frame = EncodeForStream(
      {{}, peer::DocumentReply{base::ConfigurationVersion(1), "body"}, {}});
  std::string long_frame = frame;
  long_frame[3] = '\x7f';
  // The four-byte length of the body is followed by the four bytes of the body
  // and the one-byte count of the updates.
  std::string long_body = frame;
  long_body[long_body.size() - 1 - 4 - 1] = '\x7f';

  CHECK(peer::Decode(Transport::kStream, long_frame).error() ==
        CodecError::kOversized);
  CHECK(peer::Decode(Transport::kStream, long_body).error() ==
        CodecError::kMalformed);
}

TEST_CASE("a 1 MiB document is encoded for a stream only, a larger one never") {
  const peer::Message message{
      {},
      peer::DocumentReply{base::ConfigurationVersion(9),
                          std::string(peer::kMaximumDocumentBytes, 'd')},
      {}};
  peer::Message oversized = message;
  std::get<peer::DocumentReply>(oversized.m_body).m_body += 'd';

  CHECK(peer::Decode(Transport::kStream, EncodeForStream(message)).value() ==
        message);
  CHECK(peer::Encode(Transport::kDatagram, message).error() ==
        CodecError::kMalformed);
  CHECK(peer::Encode(Transport::kStream, oversized).error() ==
        CodecError::kOversized);
}
