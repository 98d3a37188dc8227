#include <doctest/doctest.h>

#include <string>

#include "platform/manifest_check.h"

namespace adapter {

TEST_CASE("a manifest is read as an object of the store and as its bare spec") {
  const std::string spec =
      R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1",)"
      R"("prefix":"/8443/","route_type":"download","timeout_ms":1500,)"
      R"("backend":"a"},{"name":"r-2"}]})";

  for (const std::string& text : {spec, R"({"meta":{},"spec":)" + spec + "}"}) {
    const ManifestReport report = CheckManifest(text);
    REQUIRE(report.m_manifest);
    CHECK(report.m_manifest->m_routes.size() == 1);
    REQUIRE(report.m_field_problems.list().size() == 2);
    CHECK(ToString(report.m_field_problems.list()[0]) ==
          "manifest, route r-2: host is missing: route_ignored");
    CHECK(ToString(report.m_field_problems.list()[1]) ==
          "manifest, route r-2: prefix is missing: route_ignored");
  }
}

// The command ended with a stack overflow.
TEST_CASE("a deeply nested field of a manifest is ignored") {
  constexpr std::size_t kDepth = 500'000;

  const ManifestReport report =
      CheckManifest(R"({"version":7,"routes":[],"note":)" +
                    std::string(kDepth, '[') + std::string(kDepth, ']') + "}");

  CHECK(report.m_manifest);
}

TEST_CASE("text that is not a manifest is refused with a reason") {
  CHECK(CheckManifest("{").m_problem.find("at byte") != std::string::npos);
  CHECK_FALSE(CheckManifest("{}").m_manifest);
  CHECK_FALSE(CheckManifest(R"({"version":"7","routes":[]})").m_manifest);
}

}  // namespace adapter
