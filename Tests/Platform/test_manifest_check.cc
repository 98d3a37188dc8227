#include <doctest/doctest.h>

#include <string>

#include "platform/manifest_check.h"
#include "platform/manifest_difference.h"

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

namespace {

constexpr const char* kTwoRoutes =
    R"("routes":[{"name":"feed","host":"198.18.0.1","prefix":"/8443/",)"
    R"("route_type":"download","timeout_ms":1500,"target_latency_ms":1600,)"
    R"("weighted_backends":[{"backend":"a","weight":1},)"
    R"({"backend":"c","weight":1}]},)"
    R"({"name":"bill","host":"198.18.0.1","prefix":"/8444/",)"
    R"("route_type":"idempotent","timeout_ms":9000,"backend":"a"}])";

std::string LinesOf(const configuration::Problems& problems) {
  std::string lines;
  for (const configuration::Problem& problem : problems)
    lines += (problem.IsWarning() ? "w " : "e ") + ToString(problem) + "\n";
  return lines;
}

}  // namespace

TEST_CASE("contradictions and entries that never take effect are reported") {
  const ManifestReport report = CheckManifest(
      R"({"version":7,"limits":{"idle_timeout_ms":8000},"services":[)"
      R"({"name":"a","health_path":"/h","warmup_per_s":4},)"
      R"({"name":"b","health_path":"/h"},{"name":"b","health_path":"/i"}],)" +
      std::string(kTwoRoutes) + "}");

  CHECK(report.m_field_problems.list().empty());
  CHECK(LinesOf(report.m_problems) ==
        "e route feed: target_latency_ms: 1600 is above timeout_ms, 1500 "
        "(contradiction)\n"
        "w route feed: \"services\" has no usable entry for the service c "
        "(never_used)\n"
        "e service a: warmup_per_s: has no effect without warmup_s "
        "(contradiction)\n"
        "w service b: no route leads to it (never_used)\n"
        "w service b: an earlier entry has the same name (never_used)\n"
        "e limits: idle_timeout_ms: 8000 is below timeout_ms of the route "
        "bill, 9000 (contradiction)\n");
}

TEST_CASE("routes that can never match and useless weights are errors") {
  const ManifestReport report = CheckManifest(
      R"({"version":7,"services":[{"name":"a"}],"routes":[)"
      R"({"name":"r-1","host":"198.18.0.1","prefix":"/1/","backend":"a",)"
      R"("route_type":"download","timeout_ms":1},)"
      R"({"name":"r-2","host":"198.18.0.1","prefix":"/1/","backend":"a",)"
      R"("route_type":"download","timeout_ms":1},)"
      R"({"name":"r-3","host":"198.18.0.1","prefix":"/2/","timeout_ms":1,)"
      R"("route_type":"download",)"
      R"("weighted_backends":[{"backend":"a","weight":0}]}]})");

  const auto& problems = report.m_field_problems.list();
  REQUIRE(problems.size() == 3);
  CHECK(ToString(problems[0]) ==
        "manifest, route r-2: prefix is \"/1/\": route_ignored");
  CHECK(ToString(problems[1]) ==
        "manifest, route r-3: weighted_backends is an array of 1: "
        "route_not_served");
  CHECK(ToString(problems[2]) ==
        "manifest: health_path is missing: default_used");
  CHECK_FALSE(IsWarning(problems[1]));
  CHECK(IsWarning(problems[2]));
}

TEST_CASE("the difference names each route, service and field that changes") {
  const auto before = CheckManifest(
      R"({"version":7,"services":[{"name":"a","health_path":"/h"}],)" +
      std::string(kTwoRoutes) + "}");
  const auto after = CheckManifest(
      R"({"version":7,"limits":{"idle_timeout_ms":20000},"services":[)"
      R"({"name":"a","health_path":"/h","warmup_s":30},)"
      R"({"name":"b","health_path":"/h"}],"routes":[)"
      R"({"name":"feed","host":"198.18.0.1","prefix":"/8443/","backend":"a",)"
      R"("route_type":"upload","timeout_ms":1500,"priority":2}]})");
  REQUIRE(before.m_manifest);
  REQUIRE(after.m_manifest);

  std::string changes;
  for (const auto& change :
       DifferenceBetween(*before.m_manifest, *after.m_manifest))
    changes += ToString(change) + "\n";
  CHECK(changes ==
        "idle_timeout_ms: 15000 -> 20000\n"
        "route bill: removed\n"
        "route feed: weighted_backends: a 1, c 1 -> a 1\n"
        "route feed: route_type: download -> upload\n"
        "route feed: target_latency_ms: 1600 -> none\n"
        "route feed: priority: none -> 2\n"
        "service a: warmup_s: 0 -> 30\n"
        "service b: added\n");
  CHECK(LinesOf(CheckReplacement(*before.m_manifest, *after.m_manifest)) ==
        "e version: must be greater than 7, otherwise balancers ignore the "
        "manifest (out_of_range)\n"
        "w route bill: 198.18.0.1:8444 is no longer served: new requests on "
        "its open flows are reset (drain_first)\n");
  CHECK(CheckReplacement(*before.m_manifest, *before.m_manifest).empty());
}

}  // namespace adapter
