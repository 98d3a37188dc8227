#include "LibPeer/codec.h"

#include <istream>
#include <sstream>

#include "LibPeer/archive.h"
#include "LibPeer/codec_error.h"
#include "LibPeer/limits.h"
#include "LibPeer/message.h"
#include "LibPeer/string_view_buffer.h"

namespace peer {

namespace {

constexpr std::uint8_t kMagicFirst = 0xCF;
constexpr std::uint8_t kMagicSecond = 0x1D;
constexpr std::uint8_t kProtocolVersion = 2;
constexpr std::size_t kVersionPosition = 2;
constexpr std::size_t kLengthPosition = 3;

std::size_t MaximumFrameBytes(Transport transport) {
  return transport == Transport::kDatagram ? kMaximumDatagramBytes
                                           : kMaximumFrameBytes;
}

bool IsStreamOnly(const MessageBody& body) {
  return std::holds_alternative<DocumentRequest>(body) ||
         std::holds_alternative<DocumentReply>(body) ||
         std::holds_alternative<BurnRequest>(body) ||
         std::holds_alternative<BurnReply>(body);
}

std::uint8_t ByteAt(std::string_view bytes, std::size_t position) {
  return static_cast<std::uint8_t>(bytes[position]);
}

std::string MakeFrameHeader(std::size_t payload_bytes) {
  std::string header{static_cast<char>(kMagicFirst),
                     static_cast<char>(kMagicSecond),
                     static_cast<char>(kProtocolVersion)};
  for (const int shift : {24, 16, 8, 0})
    header.push_back(static_cast<char>((payload_bytes >> shift) & 0xff));
  return header;
}

// Returns the alternative of MessageBody at position `tag`.
template <std::size_t kPosition = 0>
MessageBody MakeBody(std::size_t tag) {
  if constexpr (kPosition == std::variant_size_v<MessageBody>) {
    throw cereal::Exception("unknown message tag");
  } else {
    if (tag == kPosition)
      return MessageBody(std::in_place_index<kPosition>);
    return MakeBody<kPosition + 1>(tag);
  }
}

void SavePayload(std::ostream& stream, Message message) {
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message.m_sender, static_cast<std::uint8_t>(message.m_body.index()));
  std::visit([&](auto& body) { archive(body); }, message.m_body);
  archive(MakeBounded<std::uint8_t, kMaximumUpdates>(message.m_updates));
}

Message LoadPayload(Transport transport, std::istream& stream) {
  cereal::PortableBinaryInputArchive archive(stream);
  Message message;
  std::uint8_t tag = 0;
  archive(message.m_sender, tag);
  message.m_body = MakeBody(tag);
  if (transport == Transport::kDatagram && IsStreamOnly(message.m_body))
    throw cereal::Exception("stream-only message in a datagram");
  std::visit([&](auto& body) { archive(body); }, message.m_body);
  archive(MakeBounded<std::uint8_t, kMaximumUpdates>(message.m_updates));
  return message;
}

}  // namespace

base::Outcome<std::size_t> FrameSize(Transport transport,
                                     std::string_view frame_header) {
  if (!frame_header.empty() && ByteAt(frame_header, 0) != kMagicFirst)
    return CodecError::kWrongMagic;
  if (frame_header.size() > 1 && ByteAt(frame_header, 1) != kMagicSecond)
    return CodecError::kWrongMagic;
  if (frame_header.size() < kFrameHeaderBytes)
    return CodecError::kTruncated;
  if (ByteAt(frame_header, kVersionPosition) != kProtocolVersion)
    return CodecError::kUnsupportedVersion;
  std::size_t payload_bytes = 0;
  for (std::size_t at = kLengthPosition; at < kFrameHeaderBytes; ++at)
    payload_bytes = (payload_bytes << 8) | ByteAt(frame_header, at);
  if (payload_bytes > MaximumFrameBytes(transport) - kFrameHeaderBytes)
    return CodecError::kOversized;
  return kFrameHeaderBytes + payload_bytes;
}

base::Outcome<std::string> Encode(Transport transport, const Message& message) {
  if (transport == Transport::kDatagram && IsStreamOnly(message.m_body))
    return CodecError::kMalformed;
  std::ostringstream stream;
  try {
    SavePayload(stream, message);
  } catch (const cereal::Exception&) {
    return CodecError::kOversized;
  }
  const std::string payload = std::move(stream).str();
  if (payload.size() > MaximumFrameBytes(transport) - kFrameHeaderBytes)
    return CodecError::kOversized;
  return MakeFrameHeader(payload.size()) + payload;
}

base::Outcome<Message> Decode(Transport transport, std::string_view frame) {
  TRY(frame_bytes, FrameSize(transport, frame));
  if (frame.size() < frame_bytes)
    return CodecError::kTruncated;
  if (frame.size() > frame_bytes)
    return CodecError::kMalformed;
  StringViewBuffer buffer(frame.substr(kFrameHeaderBytes));
  std::istream stream(&buffer);
  try {
    Message message = LoadPayload(transport, stream);
    if (!buffer.IsExhausted())
      return CodecError::kMalformed;
    return message;
  } catch (const cereal::Exception&) {
    return CodecError::kMalformed;
  }
}

}  // namespace peer
