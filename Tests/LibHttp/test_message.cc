#include <doctest/doctest.h>

#include <string>

#include "LibHttp/error.h"
#include "LibHttp/request.h"
#include "LibHttp/response_parser.h"

using http::Error;

TEST_CASE("a response parses the same however it is split into pieces") {
  const std::string text =
      "HTTP/1.1 200 OK\r\nX-Version: 12\r\nContent-Length: 5\r\n\r\nhello";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    http::ResponseParser parser(5);

    for (std::size_t at = 0; at < text.size(); at += piece)
      REQUIRE(parser.Feed(std::string_view(text).substr(at, piece)));

    REQUIRE(parser.IsComplete());
    CHECK(parser.response().m_status == 200);
    CHECK(parser.response().m_body == "hello");
    CHECK(http::FindHeader(parser.response().m_headers, "x-version") == "12");
  }
}

TEST_CASE("a truncated, oversized or non-HTTP response is rejected") {
  http::ResponseParser cut(100);
  REQUIRE(cut.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"));
  CHECK(cut.Finish().error() == Error::kClosedBeforeResponse);

  http::ResponseParser large(4);
  CHECK(
      large.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello").error() ==
      Error::kResponseTooLarge);

  http::ResponseParser other(100);
  CHECK(other.Feed("SSH-2.0-OpenSSH\r\n").error() == Error::kMalformedResponse);
}

TEST_CASE("a request with line breaks in its path or headers is rejected") {
  http::Request request;
  request.m_path = "/a\r\nX: y";
  CHECK(http::SerializeRequest(request).error() == Error::kInvalidRequest);

  request.m_path = "/a";
  request.m_headers = {{"If-Version", "1\r\nX: y"}};
  CHECK(http::SerializeRequest(request).error() == Error::kInvalidRequest);

  request.m_headers = {{"If-Version", "1"}};
  CHECK(http::SerializeRequest(request));
  CHECK(http::PercentEncode("a b/ö") == "a%20b/%C3%B6");
}
