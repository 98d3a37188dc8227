// Guards against an event that is added to the log and left out of the page for
// operators.

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "LibObservability/event.h"

namespace observability {

TEST_CASE("docs/OPERATIONS.md describes every event") {
  std::ifstream file(OPERATIONS_PAGE);
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  const std::string page = text.str();

  for (const auto& entry : kEventNames) {
    const std::string name(entry.m_name);
    CAPTURE(name);
    CHECK(page.find("`" + name + "`") != std::string::npos);
  }
}

}  // namespace observability
