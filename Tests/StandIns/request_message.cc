#include "StandIns/request_message.h"

#include "LibBase/hash.h"
#include "LibBase/verify.h"

namespace stand_ins {

namespace {

constexpr std::uint32_t kRequestMagic = 0x52455131;
constexpr std::uint32_t kAnswerMagic = 0x414e5331;
constexpr std::size_t kPatternBlockBytes = sizeof(std::uint64_t);

template <typename Integer>
void Append(std::string* bytes, Integer value) {
  for (int shift = static_cast<int>(sizeof(Integer)) * 8 - 8; shift >= 0;
       shift -= 8)
    bytes->push_back(static_cast<char>(value >> shift));
}

// Reads big-endian integers from bytes whose size has been checked.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : m_bytes(bytes) {}

  template <typename Integer>
  Integer Read() {
    VERIFY(m_bytes.size() >= sizeof(Integer));
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < sizeof(Integer); ++index)
      value = (value << 8) | static_cast<unsigned char>(m_bytes[index]);
    m_bytes.remove_prefix(sizeof(Integer));
    return static_cast<Integer>(value);
  }

 private:
  std::string_view m_bytes;
};

bool IsKind(std::uint32_t value) {
  for (const auto& entry : kRequestKindNames) {
    if (static_cast<std::uint32_t>(entry.m_value) == value)
      return true;
  }
  return false;
}

bool IsStatus(std::uint16_t value) {
  return value >= static_cast<std::uint16_t>(AnswerStatus::kWhole) &&
         value <= static_cast<std::uint16_t>(AnswerStatus::kNotRun);
}

// Returns the eight bytes of the pattern at offset 8 * `block`.
std::uint64_t PatternBlock(RequestId id, std::uint64_t block) {
  return base::CombineHashes(id.value(), block);
}

}  // namespace

std::string EncodeRequest(const Request& request) {
  std::string bytes;
  bytes.reserve(kRequestBytes);
  Append(&bytes, kRequestMagic);
  Append(&bytes, static_cast<std::uint32_t>(request.m_kind));
  Append(&bytes, request.m_id.value());
  Append(&bytes, static_cast<std::uint32_t>(request.m_service_time.count()));
  Append(&bytes, request.m_answer_bytes);
  Append(&bytes, static_cast<std::uint32_t>(request.m_feed_interval.count()));
  Append(&bytes, static_cast<std::uint32_t>(request.m_time_left.count()));
  VERIFY(bytes.size() == kRequestBytes);
  return bytes;
}

std::optional<Request> DecodeRequest(std::string_view bytes) {
  if (bytes.size() != kRequestBytes)
    return std::nullopt;
  Reader reader(bytes);
  if (reader.Read<std::uint32_t>() != kRequestMagic)
    return std::nullopt;
  const auto kind = reader.Read<std::uint32_t>();
  if (!IsKind(kind))
    return std::nullopt;
  Request request;
  request.m_kind = static_cast<RequestKind>(kind);
  request.m_id = RequestId(reader.Read<std::uint64_t>());
  request.m_service_time =
      std::chrono::microseconds(reader.Read<std::uint32_t>());
  request.m_answer_bytes = reader.Read<std::uint32_t>();
  request.m_feed_interval =
      std::chrono::milliseconds(reader.Read<std::uint32_t>());
  request.m_time_left = std::chrono::milliseconds(reader.Read<std::uint32_t>());
  if (request.m_answer_bytes > kMaximumAnswerBytes)
    return std::nullopt;
  return request;
}

std::string EncodeAnswerHeader(const AnswerHeader& header) {
  std::string bytes;
  bytes.reserve(kAnswerHeaderBytes);
  Append(&bytes, kAnswerMagic);
  Append(&bytes, static_cast<std::uint16_t>(header.m_status));
  Append(&bytes, header.m_service_address.m_port);
  Append(&bytes, header.m_service_address.m_address.value());
  Append(&bytes, header.m_body_bytes);
  Append(&bytes, header.m_id.value());
  Append(&bytes, header.m_sequence);
  VERIFY(bytes.size() == kAnswerHeaderBytes);
  return bytes;
}

std::optional<AnswerHeader> DecodeAnswerHeader(std::string_view bytes) {
  if (bytes.size() != kAnswerHeaderBytes)
    return std::nullopt;
  Reader reader(bytes);
  if (reader.Read<std::uint32_t>() != kAnswerMagic)
    return std::nullopt;
  const auto status = reader.Read<std::uint16_t>();
  if (!IsStatus(status))
    return std::nullopt;
  AnswerHeader header;
  header.m_status = static_cast<AnswerStatus>(status);
  header.m_service_address.m_port = reader.Read<std::uint16_t>();
  header.m_service_address.m_address =
      base::Ipv4Address(reader.Read<std::uint32_t>());
  header.m_body_bytes = reader.Read<std::uint32_t>();
  header.m_id = RequestId(reader.Read<std::uint64_t>());
  header.m_sequence = reader.Read<std::uint64_t>();
  if (header.m_body_bytes > kMaximumAnswerBytes)
    return std::nullopt;
  return header;
}

char PatternByte(RequestId id, std::uint64_t offset) {
  const std::uint64_t block = PatternBlock(id, offset / kPatternBlockBytes);
  return static_cast<char>(block >> (offset % kPatternBlockBytes * 8));
}

std::string PatternBytes(RequestId id,
                         std::uint64_t offset,
                         std::size_t count) {
  std::string bytes;
  bytes.reserve(count);
  std::uint64_t block = 0;
  for (std::uint64_t at = offset; at < offset + count; ++at) {
    const std::uint64_t place = at % kPatternBlockBytes;
    if (at == offset || place == 0)
      block = PatternBlock(id, at / kPatternBlockBytes);
    bytes.push_back(static_cast<char>(block >> (place * 8)));
  }
  return bytes;
}

}  // namespace stand_ins
