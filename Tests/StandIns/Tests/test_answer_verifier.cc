#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include "StandIns/answer_verifier.h"
#include "StandIns/request_message.h"

using stand_ins::AnswerHeader;
using stand_ins::AnswerStatus;
using stand_ins::AnswerVerifier;
using stand_ins::PatternBytes;
using stand_ins::Request;
using stand_ins::RequestId;
using stand_ins::RequestKind;

namespace {

constexpr std::uint32_t kBodyBytes = 1000;
const base::Endpoint kService{base::Ipv4Address(0x7f400001), 80};

Request MakeRequest(RequestKind kind) {
  Request request;
  request.m_id = RequestId(42);
  request.m_kind = kind;
  request.m_answer_bytes = kBodyBytes;
  return request;
}

std::string MakeAnswer(RequestId id, base::Endpoint service) {
  AnswerHeader header;
  header.m_id = id;
  header.m_service_address = service;
  header.m_body_bytes = kBodyBytes;
  return EncodeAnswerHeader(header) + PatternBytes(id, 0, kBodyBytes);
}

AnswerVerifier Read(std::string_view bytes, std::size_t step) {
  AnswerVerifier reader(MakeRequest(RequestKind::kShort), kService);
  for (std::size_t at = 0; at < bytes.size(); at += step)
    reader.Add(bytes.substr(at, step));
  return reader;
}

}  // namespace

TEST_CASE(
    "a decoded request equals the encoded one; malformed bytes are rejected") {
  Request request = MakeRequest(RequestKind::kDeclaration);
  request.m_service_time = std::chrono::microseconds(12345);
  request.m_time_left = std::chrono::milliseconds(777);
  const std::string bytes = EncodeRequest(request);

  const auto decoded = stand_ins::DecodeRequest(bytes);

  REQUIRE(decoded);
  CHECK(decoded->m_id == request.m_id);
  CHECK(decoded->m_kind == request.m_kind);
  CHECK(decoded->m_service_time == request.m_service_time);
  CHECK(decoded->m_time_left == request.m_time_left);
  CHECK_FALSE(stand_ins::DecodeRequest(bytes.substr(1)));
  CHECK_FALSE(stand_ins::DecodeRequest(std::string(bytes.size(), '\0')));
}

TEST_CASE("a correct answer is whole, however its bytes are split") {
  const std::string answer = MakeAnswer(RequestId(42), kService);
  for (const std::size_t step : {1U, 7U, 31U, 32U, 33U, 5000U}) {
    const AnswerVerifier reader = Read(answer, step);
    CHECK(reader.IsWhole());
    CHECK(reader.WrongBytes() == 0);
    CHECK_FALSE(reader.IsMisdelivered());
  }
}

TEST_CASE(
    "wrong, malformed and surplus bytes are counted; a cut answer is not "
    "whole") {
  std::string answer = MakeAnswer(RequestId(42), kService);
  CHECK_FALSE(Read(answer.substr(0, answer.size() - 1), 100).IsWhole());
  CHECK(Read(answer + "tail", 100).WrongBytes() == 4);
  answer[500] ^= 1;
  answer[900] ^= 1;
  CHECK(Read(answer, 100).WrongBytes() == 2);
  CHECK(Read(std::string(200, 'x'), 100).WrongBytes() == 200);
}

TEST_CASE(
    "the answer to another request or from another service is misdelivered") {
  const base::Endpoint other{kService.m_address, 81};
  CHECK(Read(MakeAnswer(RequestId(43), kService), 100).IsMisdelivered());
  CHECK(Read(MakeAnswer(RequestId(42), other), 100).IsMisdelivered());
}

TEST_CASE("a missing event of a feed counts as one gap") {
  AnswerVerifier reader(MakeRequest(RequestKind::kFeed), kService);
  for (const std::uint64_t sequence : {0U, 1U, 3U}) {
    AnswerHeader header;
    header.m_id = RequestId(42);
    header.m_status = AnswerStatus::kEvent;
    header.m_service_address = kService;
    header.m_body_bytes = 8;
    header.m_sequence = sequence;
    reader.Add(EncodeAnswerHeader(header) + PatternBytes(RequestId(42), 0, 8));
  }
  CHECK(reader.Events() == 3);
  CHECK(reader.EventGaps() == 1);
  CHECK(reader.WrongBytes() == 0);
}
