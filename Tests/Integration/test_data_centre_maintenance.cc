// Guards against flows that break when a data centre is taken out of service
// for maintenance and returned, by the steps in docs/OPERATIONS.md.

#include <doctest/doctest.h>

#include <iostream>
#include <thread>

#include "callers.h"
#include "data_centre.h"
#include "scenario.h"

using integration::ChildProcess;
using integration::DataCentre;
using integration::kPortal;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 121;
constexpr auto kFlowEndDeadline = seconds(5);

// The callers of one data centre. Feeds last until they are stopped; pulls and
// declarations open new flows all the time, in the data centre that MoveTo
// sets.
struct Callers {
  explicit Callers(DataCentre& centre)
      : m_pulls(Start(centre, "pull", 4, 400'000)),
        m_declarations(Start(centre, "declaration", 40, 2000)) {
    StartFeeds(centre);
  }

  static std::unique_ptr<ChildProcess> Start(DataCentre& centre,
                                             const std::string& kind,
                                             double openings_per_second,
                                             int answer_bytes) {
    return centre.deployment().StartCaller(
        kPortal, {.m_kind = kind,
                  .m_openings_per_second = openings_per_second,
                  .m_duration = seconds(120),
                  .m_answer_bytes = answer_bytes,
                  .m_extra_options = {"--feed-interval-ms", "400"}});
  }

  void StartFeeds(DataCentre& centre) {
    m_feeds = Start(centre, "feed", 20, 2000);
  }

  // Opens new flows in `centre`; established flows stay in their data centre.
  void MoveTo(DataCentre& centre) {
    for (ChildProcess* caller : All())
      caller->SendAndWait("fabric " + centre.deployment().CallersEndpoint(),
                          "done");
  }

  integration::CallerList All() const {
    return {m_feeds.get(), m_pulls.get(), m_declarations.get()};
  }

  std::unique_ptr<ChildProcess> m_feeds;
  std::unique_ptr<ChildProcess> m_pulls;
  std::unique_ptr<ChildProcess> m_declarations;
};

struct Totals {
  int m_flows = 0;
  int m_broken = 0;
  int m_refused = 0;
  int m_unanswered = 0;
};

// Stops all callers and adds their reports to `totals`.
void StopAndCount(const std::string& title,
                  const integration::CallerList& callers,
                  Totals* totals) {
  for (const auto& report : integration::StopAll(callers)) {
    integration::PrintFigures(title, kSeed, report);
    CHECK(report.get<int>("established") > 0);
    CHECK(report.get<int>("wrong_bytes") == 0);
    totals->m_flows += report.get<int>("flows");
    totals->m_broken += report.get<int>("broken");
    totals->m_refused +=
        report.get<int>("refused") + report.get<int>("not_run");
    totals->m_unanswered += report.get<int>("unanswered_openings");
  }
}

// Two data centres on one platform, with callers in each.
struct Sites {
  explicit Sites(const std::string& settings)
      : m_a(m_platform, m_document, OptionsOf("a", 1, settings)),
        m_b(m_platform, m_document, OptionsOf("b", 2, settings)) {
    Publish("first");
    m_a.StartBalancers();
    m_b.StartBalancers();
    AwaitInForce();
    m_callers_a = std::make_unique<Callers>(m_a);
    m_callers_b = std::make_unique<Callers>(m_b);
    AwaitNewFlows(8);
  }

  static DataCentre::Options OptionsOf(const std::string& name,
                                       int number,
                                       const std::string& settings) {
    return {.m_name = name,
            .m_number = number,
            .m_seed = kSeed,
            .m_servers = 4,
            .m_balancers = 4,
            .m_settings = settings};
  }

  void Publish(const std::string& submission) {
    m_version =
        m_platform.PutDocument(m_document.Render(submission), m_version);
    REQUIRE(m_version > 0);
  }
  void AwaitInForce() {
    m_a.deployment().AwaitInForce(m_version);
    m_b.deployment().AwaitInForce(m_version);
  }
  void AwaitNewFlows(int count) {
    integration::AwaitNewFlowsOfAll(AllCallers(), count);
  }
  integration::CallerList AllCallers() const {
    integration::CallerList all = m_callers_a->All();
    for (ChildProcess* caller : m_callers_b->All())
      all.push_back(caller);
    return all;
  }

  integration::PlatformControl m_platform;
  integration::DocumentModel m_document = integration::MakePortalDocument();
  DataCentre m_a;
  DataCentre m_b;
  std::uint64_t m_version = 0;
  std::unique_ptr<Callers> m_callers_a;
  std::unique_ptr<Callers> m_callers_b;
};

// Returns how many connections the drained servers have at the deadline: those
// of flows that did not end, or whose end did not reach the server.
std::uint64_t ConnectionsLeft(const std::string& title, DataCentre& centre) {
  const auto end = std::chrono::steady_clock::now() + kFlowEndDeadline;
  std::uint64_t left = 0;
  do {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    left = centre.deployment().SumOverServers("connections");
  } while (left > 0 && std::chrono::steady_clock::now() < end);
  std::cout << title << ": seed " << kSeed << ", connections left at "
            << centre.name() << " " << left << "\n";
  return left;
}

// Moves openings to `other`, drains the servers of `out` with a document, and
// stops half of the balancers of `out` while its flows continue.
void StartMaintenance(Sites& sites,
                      DataCentre& out,
                      Callers& callers,
                      DataCentre& other) {
  callers.MoveTo(other);
  out.SetDraining(true);
  sites.Publish("drained");
  sites.AwaitInForce();
  CHECK(out.deployment().StopBalancers(
      {out.name() + "-entry-1", out.name() + "-entry-2"}));
  sites.AwaitNewFlows(8);
}

void EndMaintenance(Sites& sites, DataCentre& centre, Callers& callers) {
  centre.StartBalancers();
  centre.SetDraining(false);
  sites.Publish("returned");
  sites.AwaitInForce();
  callers.MoveTo(centre);
  callers.StartFeeds(centre);
  sites.AwaitNewFlows(8);
}

}  // namespace

TEST_CASE(
    "no flow breaks in the maintenance of one data centre, then of another") {
  Sites sites("");
  Totals totals;
  struct Round {
    DataCentre& m_out;
    Callers& m_callers;
    DataCentre& m_other;
  };

  for (const Round& round : {Round{sites.m_a, *sites.m_callers_a, sites.m_b},
                             Round{sites.m_b, *sites.m_callers_b, sites.m_a}}) {
    // The platform responds late during the whole round.
    sites.m_platform.Post("slow?ms=200");
    StartMaintenance(sites, round.m_out, round.m_callers, round.m_other);
    StopAndCount("feeds of " + round.m_out.name(),
                 {round.m_callers.m_feeds.get()}, &totals);
    CHECK(ConnectionsLeft("maintenance", round.m_out) == 0);
    CHECK(round.m_out.StopBalancers());
    CHECK(round.m_out.deployment().BalancerNames().empty());
    EndMaintenance(sites, round.m_out, round.m_callers);
  }
  StopAndCount("callers of both", sites.AllCallers(), &totals);

  CHECK(totals.m_flows > 500);
  CHECK(totals.m_broken == 0);
  CHECK(totals.m_refused == 0);
  CHECK(totals.m_unanswered == 0);
  CHECK(sites.m_a.deployment().AreVersionsMonotonic());
  CHECK(sites.m_b.deployment().AreVersionsMonotonic());
}

TEST_CASE("without learning and probes maintenance leaves connections open") {
  Sites sites(
      "control: {placement: none}\n"
      "mechanisms: {learn_from_answers: false, probe: false}\n");
  Totals totals;

  StartMaintenance(sites, sites.m_a, *sites.m_callers_a, sites.m_b);
  StopAndCount("feeds without learning and probes",
               {sites.m_callers_a->m_feeds.get()}, &totals);

  CHECK(ConnectionsLeft("without learning and probes", sites.m_a) > 0);
}
