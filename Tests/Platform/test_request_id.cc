#include <doctest/doctest.h>

#include <string>

#include "platform/request_id.h"

namespace adapter {

namespace {

std::string Find(const std::string& text) {
  return std::string(FindRequestId(
      {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()}));
}

}  // namespace

TEST_CASE("the request id is found with any case of the field name") {
  CHECK(Find("GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: 7fd2e2d3\r\n\r\n") ==
        "7fd2e2d3");
  CHECK(Find("POST /x HTTP/1.1\r\nrequest-id:a1 \r\n\r\nbody") == "a1");
}

TEST_CASE(
    "no request id is found in a body, a truncated header or another field") {
  CHECK(Find("GET / HTTP/1.1\r\n\r\nRequest-Id: 1\r\n") == "");
  CHECK(Find("GET / HTTP/1.1\r\nRequest-Id: 7fd2") == "");
  CHECK(Find("GET / HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n") == "");
  CHECK(Find("") == "");
}

TEST_CASE("a long request id is truncated") {
  const std::string id(500, 'a');

  CHECK(Find("GET / HTTP/1.1\r\nRequest-Id: " + id + "\r\n\r\n").size() ==
        kMaximumRequestIdBytes);
}

}  // namespace adapter
