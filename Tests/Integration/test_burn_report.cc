// Guards against a burn-rate report that lacks counts without naming the
// missing balancers: the report of any balancer is the sum over all balancers
// of all data centres, also when some are frozen, killed or restarted.

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <regex>
#include <thread>

#include "harness_error.h"
#include "http_call.h"
#include "scenario.h"

using integration::ChildProcess;
using integration::Deployment;
using integration::kPortal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 91;
// The time within which a balancer must return a report, whichever balancers
// are missing.
constexpr milliseconds kReportDeadline{2000};
// The time to detect a dead balancer, plus the lifetime of a cached sum.
constexpr auto kUpdateDeadline = seconds(5);
constexpr milliseconds kPollInterval{50};
// How long a balancer returns a cached sum. Peers detect a frozen balancer as
// dead only later.
constexpr milliseconds kSumLifetime{1000};
constexpr seconds kListLifetime{5};

std::chrono::steady_clock::time_point Now() {
  return std::chrono::steady_clock::now();
}

struct Report {
  std::string m_text;
  // Openings of the portal in five minutes and in three days.
  std::uint64_t m_short = 0;
  std::uint64_t m_long = 0;
  milliseconds m_took{0};

  bool Has(const std::string& part) const {
    return m_text.find(part) != std::string::npos;
  }
};

Report Fetch(Deployment& deployment, const std::string& balancer) {
  const auto admin = base::ParseEndpoint(deployment.Balancer(balancer)
                                             .WaitFor("listening", seconds(1))
                                             .get("admin", ""));
  const auto start = Now();
  Report report;
  report.m_text = integration::CallHttp(*admin, http::Method::kGet,
                                        "/report?format=text", {}, "")
                      .m_body;
  report.m_took = std::chrono::duration_cast<milliseconds>(Now() - start);
  CHECK(report.m_took < kReportDeadline);
  const std::regex openings(
      R"(portal +refused openings +[0-9.]+ +[0-9.]+x \(\d+/(\d+)\))"
      R"([^\n]* [0-9.]+x \(\d+/(\d+)\) +\S+\n)");
  std::smatch match;
  if (std::regex_search(report.m_text, match, openings)) {
    report.m_short = std::stoull(match[1]);
    report.m_long = std::stoull(match[2]);
  }
  return report;
}

// Fetches reports until one fulfils `predicate` or the deadline passes. Returns
// the last report, with the longest time that any report took.
template <typename Predicate>
Report FetchUntil(Deployment& deployment,
                  const std::string& balancer,
                  Predicate predicate) {
  const auto end = Now() + kUpdateDeadline;
  Report report = Fetch(deployment, balancer);
  while (!predicate(report) && Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    const milliseconds longest = report.m_took;
    report = Fetch(deployment, balancer);
    report.m_took = std::max(report.m_took, longest);
  }
  return report;
}

// Two data centres with four and two balancers under load.
class TwoDataCentres {
 public:
  TwoDataCentres() {
    m_document.m_services[kPortal].m_address =
        *base::ParseEndpoint("127.48.0.1:443");
    for (int i = 1; i <= 3; ++i) {
      m_near.AddServer(kPortal, "near-" + std::to_string(i));
      m_far.AddServer(kPortal, "far-" + std::to_string(i));
    }
    const auto version = m_platform.PutDocument(m_document.Render("first"), 0);
    integration::Require(version > 0, "the document was refused");
    for (int i = 1; i <= 4; ++i)
      m_near.AddBalancer("entry-" + std::to_string(i));
    for (int i = 5; i <= 6; ++i)
      m_far.AddBalancer("entry-" + std::to_string(i));
    m_near.AwaitInForce(version);
    m_far.AwaitInForce(version);
  }

  // Runs callers in both data centres to their end and returns the number of
  // flows that they opened.
  std::uint64_t RunCallers() {
    const auto near = m_near.StartCaller(kPortal, {.m_duration = seconds(4)});
    const auto far = m_far.StartCaller(kPortal, {.m_duration = seconds(4)});
    std::uint64_t flows = 0;
    for (ChildProcess* caller : {near.get(), far.get()}) {
      const auto report = caller->WaitFor("report", seconds(20));
      flows += report.get<std::uint64_t>("flows");
      CHECK(report.get<int>("refused") == 0);
    }
    return flows;
  }

  integration::PlatformControl& platform() { return m_platform; }
  Deployment& near() { return m_near; }
  Deployment& far() { return m_far; }

 private:
  integration::PlatformControl m_platform;
  integration::DocumentModel m_document;
  Deployment m_near{m_platform,
                    m_document,
                    {.m_data_centre = "a", .m_seed = kSeed}};
  Deployment m_far{m_platform,
                   m_document,
                   {.m_data_centre = "b", .m_number = 2, .m_seed = kSeed + 1}};
};

void Print(const std::string& title, const Report& report) {
  std::cout << title << ": seed " << kSeed << ", openings " << report.m_short
            << " in 5 min, " << report.m_long << " in 3 d, within "
            << report.m_took.count()
            << " ms: " << report.m_text.substr(0, report.m_text.find('\n'))
            << "\n";
}

}  // namespace

TEST_CASE("the report sums all balancers' counts and names missing balancers") {
  TwoDataCentres scenario;
  const std::uint64_t flows = scenario.RunCallers();
  REQUIRE(flows > 400);

  for (const std::string& name : scenario.near().BalancerNames()) {
    const Report report =
        FetchUntil(scenario.near(), name,
                   [&](const Report& at) { return at.m_short >= flows; });
    CHECK(report.m_short == flows);
    CHECK(report.m_long == flows);
    CHECK(report.Has("Counts of 6 of 6 balancers;"));
  }
  Print("all balancers present, callers' flows " + std::to_string(flows),
        Fetch(scenario.far(), "entry-5"));

  // The balancers' lists from the platform expire while the platform is silent.
  scenario.platform().Post("outage?mode=silent");
  std::this_thread::sleep_for(kListLifetime);
  const Report in_outage = Fetch(scenario.near(), "entry-1");
  Print("platform silent", in_outage);
  CHECK(in_outage.m_short == flows);
  CHECK(in_outage.Has("Counts of 6 of 6 balancers;"));
  scenario.platform().Post("outage?mode=off");

  // The frozen balancer does not respond; only the deadline shows that it is
  // missing.
  std::this_thread::sleep_for(kSumLifetime);
  scenario.near().FreezeBalancer("entry-2");
  const Report frozen = Fetch(scenario.near(), "entry-1");
  Print("one frozen", frozen);
  CHECK(frozen.Has("Counts of 5 of 6 balancers, missing: a/entry-2"));
  CHECK(frozen.m_short < flows);
  scenario.near().ThawBalancer("entry-2");
  const Report thawed =
      FetchUntil(scenario.near(), "entry-1",
                 [&](const Report& at) { return at.m_short >= flows; });
  CHECK(thawed.m_short == flows);

  scenario.near().KillBalancer("entry-3");
  const Report killed =
      FetchUntil(scenario.far(), "entry-6",
                 [](const Report& at) { return at.Has("missing: a/entry-3"); });
  Print("one killed, report of the other data centre", killed);
  CHECK(killed.Has("Counts of 5 of 6 balancers, missing: a/entry-3"));
  CHECK(killed.m_short < flows);

  // Its peers must have removed the killed process before the restarted one
  // joins as a new member.
  for (const std::string& name : scenario.near().BalancerNames())
    scenario.near().Balancer(name).WaitFor(
        "peer_left", kUpdateDeadline,
        [](const auto& line) { return line.get("peer", "") == "entry-3"; });
  scenario.near().RestartBalancer("entry-3");
  const Report restarted = FetchUntil(
      scenario.far(), "entry-6",
      [](const Report& at) { return at.Has("Counts of 6 of 6 balancers;"); });
  Print("restarted", restarted);
  CHECK(restarted.Has("Counts of 6 of 6 balancers;"));
  CHECK(restarted.m_short == killed.m_short);

  for (const std::string& name : scenario.far().BalancerNames())
    scenario.far().KillBalancer(name);
  const Report alone =
      FetchUntil(scenario.near(), "entry-1", [](const Report& at) {
        return at.Has("no answer from data centres: b");
      });
  Print("all balancers of the other data centre killed", alone);
  CHECK(alone.Has("no answer from data centres: b"));
}
