#include <doctest/doctest.h>

#include "LibHttp/error.h"
#include "LibPlatform/response_decoding.h"

using http::Response;

namespace {

template <typename Alternative, typename Variant>
bool Is(const Variant& variant) {
  return std::holds_alternative<Alternative>(variant);
}

}  // namespace

TEST_CASE("a write is unavailable only if it cannot have had an effect") {
  using http::Error;
  CHECK(Is<platform::Unavailable>(
      platform::DecodeWriteResponse(Error::kConnectFailed)));
  CHECK(Is<platform::Unavailable>(
      platform::DecodeWriteResponse(Response{503, {}, ""})));
  for (const Error error : {Error::kTimedOut, Error::kClosedBeforeResponse,
                            Error::kMalformedResponse})
    CHECK(Is<platform::PossiblyWritten>(platform::DecodeWriteResponse(error)));
  CHECK(Is<platform::PossiblyWritten>(
      platform::DecodeWriteResponse(Response{502, {}, ""})));
  CHECK(Is<platform::PossiblyWritten>(
      platform::DecodeWriteResponse(Response{200, {}, ""})));
}

TEST_CASE("results of writes and reads contain the version in the response") {
  const http::Headers headers{{"X-Version", "7"}};

  const auto written =
      platform::DecodeWriteResponse(Response{200, headers, ""});
  const auto conflict =
      platform::DecodeWriteResponse(Response{409, headers, ""});
  const auto found =
      platform::DecodeReadResponse(Response{200, headers, "text"});

  REQUIRE(Is<platform::Written>(written));
  CHECK(std::get<platform::Written>(written).m_version.value() == 7);
  REQUIRE(Is<platform::Conflict>(conflict));
  CHECK(std::get<platform::Conflict>(conflict).m_current.value() == 7);
  REQUIRE(Is<platform::Found>(found));
  CHECK(std::get<platform::Found>(found).m_body == "text");
  CHECK(Is<platform::Unavailable>(
      platform::DecodeReadResponse(Response{200, {{"X-Version", "x"}}, ""})));
}

TEST_CASE("a list with a malformed line is refused as a whole") {
  const std::string line = "a north live 127.0.0.1:1 127.0.0.1:2 127.0.0.1:3\n";

  const auto records = platform::ParseVmRecords(line);

  REQUIRE(records);
  REQUIRE(records->size() == 1);
  CHECK(records->front().m_peer.m_port == 2);
  CHECK_FALSE(platform::ParseVmRecords(line + "b north live 127.0.0.1:1\n"));
  CHECK(Is<platform::Unavailable>(
      platform::DecodeListResponse(Response{200, {}, "key 1\nkey\n"})));
}
