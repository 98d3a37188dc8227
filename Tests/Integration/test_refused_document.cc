// Guards against an invalid document that was stored in the platform without
// validation: every balancer reports it once, keeps the document in force, and
// applies the next valid one.

#include <doctest/doctest.h>

#include <iostream>

#include "http_call.h"
#include "scenario.h"

using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 131;
// A balancer that does not watch the platform reads the document once its
// version was not confirmed for 3 s.
constexpr auto kRefusedDeadline = 2 * integration::kInForceDeadline;
constexpr const char* kRefusedOnce =
    "coltsfootdale_configuration_refused_total 1\n";

std::string Metrics(integration::ChildProcess& balancer) {
  const auto line = balancer.WaitFor("listening", seconds(1));
  const auto admin = base::ParseEndpoint(line.get("admin", ""));
  REQUIRE(admin);
  return integration::CallHttp(*admin, http::Method::kGet, "/metrics", {}, "")
      .m_body;
}

}  // namespace

TEST_CASE("every balancer refuses a document that cannot be parsed, once") {
  integration::Scenario scenario({.m_seed = kSeed});
  integration::Deployment& deployment = scenario.deployment();
  const auto feeds = deployment.StartCaller(
      integration::kPortal, {.m_kind = "feed",
                             .m_openings_per_second = 20,
                             .m_duration = seconds(14),
                             .m_extra_options = {"--feed-interval-ms", "300"}});

  const std::uint64_t refused = scenario.platform().PutDocument(
      "no document", scenario.platform().DocumentVersion());
  REQUIRE(refused > 0);
  for (const std::string& name : deployment.BalancerNames())
    deployment.Balancer(name).WaitFor(
        "configuration_refused", kRefusedDeadline, [refused](const auto& line) {
          return line.get("version", std::uint64_t{0}) == refused;
        });
  for (const std::string& name : deployment.BalancerNames()) {
    integration::ChildProcess& balancer = deployment.Balancer(name);
    CHECK_MESSAGE(Metrics(balancer).find(kRefusedOnce) != std::string::npos,
                  name);
    CHECK(balancer.Lines("configuration_in_force").size() == 1);
    CHECK(balancer.Lines("lease_lapsed").empty());
  }
  const std::uint64_t next = scenario.platform().PutDocument(
      scenario.document().Render("next"), refused);
  const auto elapsed = deployment.AwaitInForce(next);

  const auto report = feeds->WaitFor("report", seconds(40));
  integration::PrintFigures("a refused document", kSeed, report);
  std::cout << "the next document in force after " << elapsed.count()
            << " ms\n";
  CHECK(report.get<int>("broken") == 0);
  for (const std::string& name : deployment.BalancerNames())
    CHECK(deployment.Balancer(name).Lines("configuration_refused").size() == 1);
}
