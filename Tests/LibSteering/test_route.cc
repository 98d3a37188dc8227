#include <doctest/doctest.h>

#include <map>

#include "LibSteering/route_table.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

TEST_CASE("a route distributes its flows among services by their weights") {
  Route route;
  route.m_services = {{"a", 90}, {"b", 10}};

  std::map<std::string, int> counts;
  for (std::uint64_t hash = 0; hash < 10'000; ++hash)
    ++counts[route.ServiceFor(hash)];

  CHECK(counts["a"] > 8'700);
  CHECK(counts["a"] < 9'300);
  CHECK(route.ServiceFor(17) == route.ServiceFor(17));
}

TEST_CASE("an older manifest never replaces a newer one") {
  RouteTable routes;
  REQUIRE(routes.Replace(MakeManifest(7)));
  Manifest older = MakeManifest(6);
  older.m_routes.clear();

  CHECK_FALSE(routes.Replace(older));
  CHECK_FALSE(routes.Replace(MakeManifest(7)));
  CHECK(routes.Version() == base::ConfigurationVersion(7));
  CHECK(routes.size() == 3);
}

TEST_CASE(
    "the options of a service are those of the manifest in force, and the "
    "first "
    "of two entries counts") {
  RouteTable routes;
  Manifest manifest = MakeManifest(1);
  manifest.m_services = {{"portal", "/first"}, {"portal", "/second"}, {"left"}};
  REQUIRE(routes.Replace(manifest));
  CHECK(routes.HealthPath("portal") == "/first");
  CHECK(routes.OptionsOf("left") != nullptr);

  manifest.m_version = base::ConfigurationVersion(2);
  manifest.m_services = {{"new"}, {"portal", "/third"}};
  REQUIRE(routes.Replace(manifest));
  CHECK(routes.HealthPath("portal") == "/third");
  CHECK(routes.OptionsOf("left") == nullptr);
}

}  // namespace steering
