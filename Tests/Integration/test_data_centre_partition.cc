// Guards against a data centre that breaks flows while it is cut off from the
// other data centres and from the platform for longer than the
// failure-detection timeouts, or that does not catch up with the configuration
// afterwards.

#include <doctest/doctest.h>

#include <iostream>
#include <optional>
#include <thread>

#include "callers.h"
#include "data_centre.h"
#include "programs.h"
#include "scenario.h"

using integration::ChildProcess;
using integration::DataCentre;
using integration::kInForceDeadline;
using integration::kPortal;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 131;
// Longer than the lease (2 s), the address hold (3 s), the suspicion of peers,
// the back-off of the platform client (4 s) and the contact interval of other
// data centres (2 s).
constexpr auto kPastTimeouts = seconds(6);

// The proxy between one data centre and the platform.
class PlatformLink {
 public:
  explicit PlatformLink(const integration::PlatformControl& platform)
      : m_proxy(integration::kStandInTraffic,
                {"proxy", "--listen", "127.0.0.1:0", "--target",
                 base::ToString(platform.endpoint()), "--protocol", "tcp",
                 "--seed", std::to_string(kSeed)}) {}

  base::Endpoint endpoint() {
    const auto line = m_proxy.WaitFor("listening", seconds(10));
    return *base::ParseEndpoint(line.get("listen", ""));
  }
  void SetRule(const std::string& rule) { m_proxy.SendAndWait(rule, "done"); }

 private:
  ChildProcess m_proxy;
};

struct Site {
  Site(integration::PlatformControl& platform,
       integration::DocumentModel& document,
       const std::string& name,
       int number,
       const std::string& settings)
      : m_link(platform),
        m_centre(platform,
                 document,
                 {.m_name = name,
                  .m_number = number,
                  .m_seed = kSeed,
                  .m_settings = settings,
                  .m_has_peer_proxies = true}) {
    m_centre.deployment().SetPlatformEndpoint(m_link.endpoint());
  }

  void StartCallers() {
    struct Kind {
      const char* m_name;
      double m_openings_per_second;
      int m_answer_bytes;
    };
    for (const Kind& kind : {Kind{"feed", 10, 2000},
                             {"pull", 4, 200'000},
                             {"declaration", 40, 2000}})
      m_callers.push_back(m_centre.deployment().StartCaller(
          kPortal, {.m_kind = kind.m_name,
                    .m_openings_per_second = kind.m_openings_per_second,
                    .m_duration = seconds(120),
                    .m_answer_bytes = kind.m_answer_bytes,
                    .m_extra_options = {"--feed-interval-ms", "400"}}));
  }

  integration::CallerList Callers() const {
    integration::CallerList callers;
    for (const auto& caller : m_callers)
      callers.push_back(caller.get());
    return callers;
  }

  // Returns whether all balancers have `version` in force within the deadline.
  bool WaitForVersion(std::uint64_t version) {
    const auto end = std::chrono::steady_clock::now() + kInForceDeadline;
    bool is_everywhere = true;
    for (const std::string& name : m_centre.deployment().BalancerNames()) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - std::chrono::steady_clock::now());
      const auto line = m_centre.deployment().Balancer(name).FindWithin(
          "configuration_in_force",
          std::max(left, std::chrono::milliseconds(0)),
          [version](const auto& each) {
            return each.get("version", std::uint64_t{0}) >= version;
          });
      is_everywhere = is_everywhere && line.has_value();
    }
    return is_everywhere;
  }

  PlatformLink m_link;
  DataCentre m_centre;
  std::vector<std::unique_ptr<ChildProcess>> m_callers;
};

struct Sites {
  explicit Sites(const std::string& settings)
      : m_a(m_platform, m_document, "a", 1, settings),
        m_b(m_platform, m_document, "b", 2, settings) {
    Change();
    m_a.m_centre.StartBalancers();
    m_b.m_centre.StartBalancers();
    REQUIRE(m_a.WaitForVersion(m_version));
    REQUIRE(m_b.WaitForVersion(m_version));
  }

  // Publishes a document that differs from the last one.
  void Change() {
    bool& is_draining = m_document.m_services.at(kPortal)
                            .m_servers.at("a-portal-1")
                            .m_is_draining;
    is_draining = !is_draining;
    m_version = m_platform.PutDocument(m_document.Render("change"), m_version);
    REQUIRE(m_version > 0);
  }

  void AwaitNewFlows(int count) {
    integration::CallerList all = m_a.Callers();
    for (ChildProcess* caller : m_b.Callers())
      all.push_back(caller);
    integration::AwaitNewFlowsOfAll(all, count);
  }

  void CutFromEachOther() {
    m_a.m_centre.deployment().CutFrom(m_b.m_centre.deployment());
  }
  void HealBetween() {
    m_a.m_centre.deployment().HealFrom(m_b.m_centre.deployment());
  }

  integration::PlatformControl m_platform;
  integration::DocumentModel m_document = integration::MakePortalDocument();
  Site m_a;
  Site m_b;
  std::uint64_t m_version = 0;
};

// Prints the time since `start`, when the fault began or was healed.
void PrintHealing(const std::string& proof,
                  std::chrono::steady_clock::time_point start) {
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
  std::cout << proof << ": seed " << kSeed << ", in force after "
            << took.count() << " ms\n";
}

// Stops the callers of `site` and checks that none of its flows is broken or
// refused.
void CheckServed(const std::string& proof, Site& site) {
  int flows = 0;
  int broken = 0;
  int refused = 0;
  for (const auto& report : integration::StopAll(site.Callers())) {
    integration::PrintFigures(proof, kSeed, report);
    CHECK(report.get<int>("wrong_bytes") == 0);
    flows += report.get<int>("flows");
    broken += report.get<int>("broken");
    refused +=
        report.get<int>("refused") + report.get<int>("unanswered_openings");
  }
  std::cout << proof << ": " << broken << " of " << flows << " flows broken, "
            << refused << " refused or unanswered\n";
  CHECK(flows > 300);
  CHECK(broken == 0);
  CHECK(refused == 0);
}

}  // namespace

TEST_CASE(
    "data centres cut off from each other and the platform break no flow") {
  Sites sites("");
  sites.m_a.StartCallers();
  sites.m_b.StartCallers();
  sites.AwaitNewFlows(4);
  struct Round {
    Site& m_isolated;
    Site& m_other;
    const char* m_rule;
  };

  for (const Round& round : {Round{sites.m_b, sites.m_a, "drop"},
                             Round{sites.m_a, sites.m_b, "cut both"}}) {
    const std::uint64_t before = sites.m_version;
    sites.CutFromEachOther();
    round.m_isolated.m_link.SetRule(round.m_rule);
    sites.Change();
    CHECK(round.m_other.WaitForVersion(sites.m_version));
    // The cut is the fault under test, so its length is fixed.
    std::this_thread::sleep_for(kPastTimeouts);
    sites.AwaitNewFlows(4);
    for (const auto& name :
         round.m_isolated.m_centre.deployment().BalancerNames()) {
      const auto last =
          round.m_isolated.m_centre.deployment().Balancer(name).LastLine(
              "configuration_in_force");
      CHECK(last->get<std::uint64_t>("version") == before);
    }
    const auto start = std::chrono::steady_clock::now();
    sites.HealBetween();
    round.m_isolated.m_link.SetRule("heal");
    CHECK(round.m_isolated.WaitForVersion(sites.m_version));
    PrintHealing(std::string("healed after ") + round.m_rule, start);
  }

  CheckServed("data centre a", sites.m_a);
  CheckServed("data centre b", sites.m_b);
  CHECK(sites.m_a.m_centre.deployment().AreVersionsMonotonic());
  CHECK(sites.m_b.m_centre.deployment().AreVersionsMonotonic());
}

TEST_CASE(
    "a data centre without the platform gets documents from another one") {
  Sites sites("");

  for (const char* rule : {"drop", "cut both"}) {
    sites.m_b.m_link.SetRule(rule);
    const auto start = std::chrono::steady_clock::now();
    sites.Change();
    CHECK(sites.m_b.WaitForVersion(sites.m_version));
    PrintHealing(std::string("through the other data centre, ") + rule, start);
    sites.m_b.m_link.SetRule("heal");
    sites.Change();
    CHECK(sites.m_b.WaitForVersion(sites.m_version));
  }

  CHECK(sites.m_b.m_centre.deployment().AreVersionsMonotonic());
}

TEST_CASE("without pulls from peers it does not get the documents") {
  Sites sites("mechanisms: {pull_from_peers: false}\n");

  sites.m_b.m_link.SetRule("drop");
  sites.Change();

  CHECK_FALSE(sites.m_b.WaitForVersion(sites.m_version));
}
