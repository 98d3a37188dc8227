// Callers may use every address that a manifest names, also if a later version
// of the platform describes its route with values that are not known here.

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidjson/document.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibSteering/route_table.h"
#include "platform/manifest_decoder.h"

namespace adapter {

namespace {

using Fields = std::map<std::string, std::string>;

// The fields of a route as JSON text, all usable.
const Fields kUsableRoute = {
    {"name", R"("r-1")"},      {"host", R"("198.18.0.1")"},
    {"prefix", R"("/8443/")"}, {"route_type", R"("idempotent")"},
    {"timeout_ms", "1500"},    {"backend", R"("a")"},
};

std::string RouteText(const Fields& fields) {
  std::string text;
  for (const auto& [name, value] : fields) {
    text += text.empty() ? "{" : ",";
    text.append("\"").append(name).append("\":").append(value);
  }
  return text + "}";
}

// The route of kUsableRoute with `value` in the field `name`, or without the
// field if `value` is empty.
std::string RouteWith(const std::string& name, const std::string& value) {
  Fields fields = kUsableRoute;
  fields.erase(name);
  if (!value.empty())
    fields[name] = value;
  return RouteText(fields);
}

DecodedManifest Decode(const std::string& routes,
                       const std::string& more_fields = "") {
  rapidjson::Document document;
  const std::string text =
      R"({"version":7,"routes":[)" + routes + "]" + more_fields + "}";
  document.Parse(text.c_str());
  REQUIRE_FALSE(document.HasParseError());
  FieldProblems problems;
  auto decoded = DecodeManifest("main", document, problems);
  REQUIRE(decoded);
  return *decoded;
}

// The only route of a manifest with one problem, of which `consequence` is the
// consequence.
steering::Route DecodeRouteWithProblem(const std::string& route,
                                       Consequence consequence) {
  const DecodedManifest decoded = Decode(route);
  REQUIRE(decoded.m_manifest.m_routes.size() == 1);
  REQUIRE(decoded.m_problems.list().size() == 1);
  CHECK(decoded.m_problems.list()[0].m_consequence == consequence);
  return decoded.m_manifest.m_routes[0];
}

const std::string kLongName = "\"" + std::string(2000, 'n') + "\"";

}  // namespace

TEST_CASE("a manifest with usable fields is decoded without a problem") {
  const DecodedManifest decoded =
      Decode(R"({"name":"r-1","host":"198.18.0.1","prefix":"/8443/",)"
             R"("route_type":"idempotent","timeout_ms":1500,)"
             R"("target_latency_ms":400,"priority":2,)"
             R"("weighted_backends":[{"backend":"a","weight":90},)"
             R"({"backend":"b","weight":10},{"backend":"c","weight":0}]},)"
             R"({"name":"r-2","host":"198.18.0.2","prefix":"/8443/",)"
             R"("route_type":"upload","timeout_ms":3000,"backend":"b"})",
             R"(,"services":[{"name":"a","health_path":"/health",)"
             R"("warmup_s":2.5,"warmup_per_s":20.0}],)"
             R"("limits":{"idle_timeout_ms":15000})");

  CHECK(decoded.m_problems.list().empty());
  const auto& routes = decoded.m_manifest.m_routes;
  REQUIRE(routes.size() == 2);
  CHECK(ToString(routes[0].m_address) == "198.18.0.1:8443");
  CHECK(routes[0].m_services.size() == 2);
  CHECK(routes[0].m_target_latency == std::chrono::milliseconds(400));
  CHECK(routes[0].m_priority == 2);
  CHECK_FALSE(routes[1].m_target_latency);
  CHECK(routes[1].m_priority == steering::kLeastUrgentPriority);
  CHECK(routes[1].m_kind == steering::RequestKind::kUpload);
  CHECK(decoded.m_manifest.m_services ==
        std::vector<steering::ServiceOptions>{
            {"a", "/health", std::chrono::milliseconds(2500), 20}});
}

TEST_CASE("a route of an unknown kind is served as one that may run once") {
  for (const char* kind : {R"("bidirectional")", "7", "null", ""}) {
    const auto route = DecodeRouteWithProblem(RouteWith("route_type", kind),
                                              Consequence::kServedAtMostOnce);
    CHECK_FALSE(steering::MayBeRepeated(route.m_kind));
  }
}

TEST_CASE("a route without a usable timeout is served with the default") {
  for (const char* timeout : {R"("1500")", "null", "-1", "0", ""}) {
    const auto route = DecodeRouteWithProblem(RouteWith("timeout_ms", timeout),
                                              Consequence::kDefaultUsed);
    CHECK(route.m_timeout == steering::Route().m_timeout);
  }
  const auto route = DecodeRouteWithProblem(
      RouteWith("timeout_ms", "90000000000"), Consequence::kNearestUsed);
  CHECK(route.m_timeout == std::chrono::hours(24));
}

TEST_CASE("a route without a usable name is served under its address") {
  for (const std::string& name : {std::string("7"), std::string(), kLongName}) {
    const auto route = DecodeRouteWithProblem(RouteWith("name", name),
                                              Consequence::kDefaultUsed);
    CHECK(route.m_name == "198.18.0.1:8443");
  }
}

TEST_CASE("a route without a usable service is kept without services") {
  for (const std::string& service : {std::string("7"), kLongName}) {
    const auto route = DecodeRouteWithProblem(RouteWith("backend", service),
                                              Consequence::kRouteNotServed);
    CHECK(route.m_services.empty());
  }
}

TEST_CASE("the usable services of a route are kept beside unusable ones") {
  Fields fields = kUsableRoute;
  fields.erase("backend");
  fields["weighted_backends"] =
      R"([{"backend":7,"weight":1},{"backend":"a","weight":0.5},)"
      R"({"backend":"b"},{"backend":"c","weight":9000000000},)"
      R"({"backend":"d","weight":-3},17])";

  const DecodedManifest decoded = Decode(RouteText(fields));

  REQUIRE(decoded.m_manifest.m_routes.size() == 1);
  CHECK(decoded.m_manifest.m_routes[0].m_services ==
        std::vector<steering::WeightedService>{
            {"a", 1}, {"b", 1}, {"c", 1'000'000}});
}

TEST_CASE("services over the maximum of a route are left out") {
  std::string services;
  for (int i = 0; i < 40; ++i)
    services += std::string(i == 0 ? "" : ",") + R"({"backend":"s-)" +
                std::to_string(i) + R"(","weight":1})";
  Fields fields = kUsableRoute;
  fields.erase("backend");
  fields["weighted_backends"] = "[" + services + "]";

  const auto route =
      DecodeRouteWithProblem(RouteText(fields), Consequence::kServiceLeftOut);

  CHECK(route.m_services.size() == 32);
}

TEST_CASE("only a route without an address of its own is ignored") {
  const std::string usable = RouteText(kUsableRoute);
  for (const std::string& unusable :
       {RouteWith("host", R"("nowhere")"), RouteWith("prefix", R"("/x/")"),
        RouteWith("prefix", R"("/70000/")"), usable, std::string("17")}) {
    const DecodedManifest decoded =
        Decode(fmt::format("{},{}", usable, unusable));

    CHECK(decoded.m_manifest.m_routes.size() == 1);
    REQUIRE_FALSE(decoded.m_problems.list().empty());
    CHECK(decoded.m_problems.list()[0].m_consequence ==
          Consequence::kRouteIgnored);
  }
}

TEST_CASE("a manifest without a version or routes is ignored with a reason") {
  rapidjson::Document document;
  document.Parse(R"({"version":"7"})");
  FieldProblems problems;

  CHECK_FALSE(DecodeManifest("main", document, problems));

  REQUIRE(problems.list().size() == 2);
  CHECK(ToString(problems.list()[0]) ==
        "main: version is \"7\": object_ignored");
  CHECK(ToString(problems.list()[1]) ==
        "main: routes is missing: object_ignored");
}

TEST_CASE("the list of problems is bounded and counts the omitted ones") {
  std::string routes = "1";
  for (int i = 0; i < 2000; ++i)
    routes += ",1";

  const DecodedManifest decoded = Decode(routes);

  CHECK(decoded.m_problems.list().size() == FieldProblems::kMaximumProblems);
  CHECK(decoded.m_problems.list().size() + decoded.m_problems.Omitted() ==
        4002);
}

TEST_CASE(
    "every address of a manifest has a route, whatever the other fields "
    "contain, and no other address has one") {
  const std::vector<std::string> values = {"",
                                           "null",
                                           "7",
                                           "-1",
                                           "1.5",
                                           "true",
                                           R"("")",
                                           R"("upload")",
                                           "[]",
                                           "{}",
                                           R"("streaming")",
                                           R"([{"backend":"b","weight":2}])",
                                           "99999999999999999999",
                                           kLongName};
  const std::vector<std::string> names = {
      "name",     "route_type", "timeout_ms", "backend", "weighted_backends",
      "attempts", "priority",   "a_new_field"};
  constexpr int kManifests = 300;
  base::Random random(20261204);
  for (int round = 0; round < kManifests; ++round) {
    std::string routes;
    std::set<std::string> addresses;
    const std::uint64_t count = 1 + random.Below(20);
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::string host = "198.18.0." + std::to_string(i);
      Fields fields = kUsableRoute;
      fields["host"] = "\"" + host + "\"";
      for (std::uint64_t change = random.Below(4); change > 0; --change) {
        const std::string& name = names[random.Below(names.size())];
        const std::string& value = values[random.Below(values.size())];
        fields.erase(name);
        if (!value.empty())
          fields[name] = value;
      }
      addresses.insert(host + ":8443");
      routes.append(routes.empty() ? "" : ",").append(RouteText(fields));
    }

    steering::RouteTable table;
    table.Replace(Decode(routes).m_manifest);

    CHECK(table.size() == addresses.size());
    for (const steering::Route& route : table.manifest().m_routes)
      CHECK(addresses.contains(ToString(route.m_address)));
  }
}

}  // namespace adapter
