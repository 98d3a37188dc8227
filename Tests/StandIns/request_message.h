// The messages that the stand-in caller and backend server exchange on a TCP
// connection: one request, then its answer. All numbers are big-endian.

#ifndef STANDINS_REQUEST_MESSAGE_H_
#define STANDINS_REQUEST_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"
#include "LibBase/strong_id.h"

namespace stand_ins {

using RequestId = base::StrongId<struct RequestIdTag, std::uint64_t>;

enum class RequestKind : std::uint8_t {
  kShort = 1,        // idempotent
  kDeclaration = 2,  // not idempotent
  kPull = 3,         // idempotent, with a large answer
  kFeed = 4,         // the server sends events until the caller closes
};

inline constexpr base::EnumTable<RequestKind, 4> kRequestKindNames{{
    {RequestKind::kShort, "short"},
    {RequestKind::kDeclaration, "declaration"},
    {RequestKind::kPull, "pull"},
    {RequestKind::kFeed, "feed"},
}};

struct Request {
  RequestId m_id;
  RequestKind m_kind = RequestKind::kShort;
  std::chrono::microseconds m_service_time{};
  std::uint32_t m_answer_bytes = 0;
  std::chrono::milliseconds m_feed_interval{};
  // How long after its arrival the server may start the request.
  std::chrono::milliseconds m_time_left{};
};

enum class AnswerStatus : std::uint8_t {
  kWhole = 1,   // m_body_bytes bytes of the pattern follow
  kEvent = 2,   // one event of a feed, with its sequence number
  kNotRun = 3,  // the deadline passed in the queue; the request did not run
};

// Precedes each answer and each event.
struct AnswerHeader {
  RequestId m_id;
  AnswerStatus m_status = AnswerStatus::kWhole;
  // The service address that the backend server serves.
  base::Endpoint m_service_address;
  std::uint32_t m_body_bytes = 0;
  std::uint64_t m_sequence = 0;
};

inline constexpr std::size_t kRequestBytes = 32;
inline constexpr std::size_t kAnswerHeaderBytes = 32;
inline constexpr std::uint32_t kMaximumAnswerBytes = 64 * 1024 * 1024;
inline constexpr std::uint32_t kFeedEventBytes = 64;

std::string EncodeRequest(const Request& request);
// Returns nullopt unless `bytes` is exactly one well-formed request.
std::optional<Request> DecodeRequest(std::string_view bytes);

std::string EncodeAnswerHeader(const AnswerHeader& header);
// Returns nullopt unless `bytes` is exactly one well-formed header.
std::optional<AnswerHeader> DecodeAnswerHeader(std::string_view bytes);

// The byte at `offset` of the answer body of a request. The byte depends on the
// id and the offset, so that a byte of another answer or another offset is
// detected.
char PatternByte(RequestId id, std::uint64_t offset);
std::string PatternBytes(RequestId id, std::uint64_t offset, std::size_t count);

}  // namespace stand_ins

#endif  // STANDINS_REQUEST_MESSAGE_H_
