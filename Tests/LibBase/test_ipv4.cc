#include <doctest/doctest.h>

#include "LibBase/ipv4.h"

TEST_CASE("a parsed endpoint formats to the text it was parsed from") {
  const auto endpoint = base::ParseEndpoint("127.0.3.254:65535");

  REQUIRE(endpoint);
  CHECK(base::ToString(*endpoint) == "127.0.3.254:65535");
}

TEST_CASE("malformed addresses and endpoints are rejected") {
  for (const char* text : {"", "1.2.3", "1.2.3.4.5", "256.1.1.1", "1..2.3",
                           "a.b.c.d", "1.2.3.4 ", "1.2.3.-4"})
    CHECK_FALSE(base::ParseIpv4Address(text));
  for (const char* text : {"1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", ":1"})
    CHECK_FALSE(base::ParseEndpoint(text));
}
