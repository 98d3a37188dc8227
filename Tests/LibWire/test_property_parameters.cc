#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

// A failure with a random seed cannot be repeated.
TEST_CASE("a program without ctest has no random seed and no fewer cases") {
  const char* parameters = std::getenv("RC_PARAMS");
  int cases = 0;
  CHECK(rc::check([&cases] { ++cases; }));

  REQUIRE(parameters != nullptr);
  if (std::string(parameters) == "seed=20261204 max_success=300")
    CHECK(cases == 300);
}
