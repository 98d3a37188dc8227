// Guards against an accepted configuration that is not in force on every
// balancer of every data centre within 4 s, and against balancers that return
// to an older version. Both could come about by concurrent submissions, lost
// responses, stale reads, platform outages and data centres that are cut off.

#include <doctest/doctest.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

#include "data_centre.h"
#include "programs.h"
#include "scenario.h"

using integration::ChildProcess;
using integration::DataCentre;
using integration::Deployment;
using integration::kInForceDeadline;
using integration::kPortal;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 61;
constexpr auto kSubmitDeadline = seconds(20);
constexpr int kConflictExitCode = 3;

// An operator who submits a document with the command-line program.
class Operator {
 public:
  // Submits `document` as an edit of version `base`, without waiting.
  Operator(const integration::PlatformControl& platform,
           const std::string& path,
           const std::string& document,
           std::uint64_t base) {
    std::ofstream(path) << document;
    m_process = std::make_unique<ChildProcess>(
        integration::kColtsfootdale,
        std::vector<std::string>{
            "submit", "--platform", base::ToString(platform.endpoint()),
            "--document", path, "--base", std::to_string(base)});
  }

  int WaitForExit() { return m_process->WaitForExit(kSubmitDeadline); }

 private:
  std::unique_ptr<ChildProcess> m_process;
};

class TemporaryFolder {
 public:
  TemporaryFolder()
      : m_path((std::filesystem::temp_directory_path() / "operators-XXXXXX")
                   .string()) {
    REQUIRE(mkdtemp(m_path.data()) != nullptr);
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string File(const std::string& name) const {
    return m_path + "/" + name;
  }

 private:
  std::string m_path;
};

std::chrono::steady_clock::time_point Now() {
  return std::chrono::steady_clock::now();
}

// Waits until `version` is in force and prints one line of figures.
void AwaitAndPrint(const std::string& title,
                   Deployment& deployment,
                   std::uint64_t version,
                   std::chrono::steady_clock::time_point start) {
  deployment.AwaitInForce(version);
  const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - start);
  std::cout << title << ": seed " << kSeed << ", version " << version
            << " in force everywhere after " << took.count() << " ms\n";
}

std::uint64_t NewestInForce(Deployment& deployment) {
  std::uint64_t newest = 0;
  for (const std::string& name : deployment.BalancerNames()) {
    for (const auto& line :
         deployment.Balancer(name).Lines("configuration_in_force"))
      newest = std::max(newest, line.get<std::uint64_t>("version"));
  }
  return newest;
}

// Waits until the caller has established `count` more flows.
void AwaitNewFlows(ChildProcess& caller, int count) {
  const int target =
      caller.SendAndWait("report", "report").get("established", 0) + count;
  caller.WaitFor("progress", seconds(20), [target](const auto& line) {
    return line.get("established", 0) >= target;
  });
}

std::uint64_t VersionAtReady(Deployment& deployment, const std::string& name) {
  return deployment.Balancer(name)
      .WaitFor("ready", kInForceDeadline)
      .get<std::uint64_t>("version");
}

// Checks that all balancers report the same submission for `version`.
void CheckOneSubmission(Deployment& deployment, std::uint64_t version) {
  std::set<std::string> submissions;
  for (const std::string& name : deployment.BalancerNames()) {
    const auto line = deployment.Balancer(name).WaitFor(
        "configuration_in_force", kInForceDeadline,
        [version](const auto& candidate) {
          return candidate.get("version", std::uint64_t{0}) == version;
        });
    submissions.insert(line.get("submission", ""));
  }
  CHECK(submissions.size() == 1);
}

void SetDraining(integration::Scenario& scenario,
                 const std::string& server,
                 bool is_draining) {
  scenario.server(kPortal, server).m_is_draining = is_draining;
}

// Two operators submit different edits of one version at once. Returns the
// version that the platform accepted.
std::uint64_t SubmitConcurrently(integration::Scenario& scenario,
                                 const TemporaryFolder& folder) {
  integration::PlatformControl& platform = scenario.platform();
  const std::uint64_t base = platform.DocumentVersion();
  SetDraining(scenario, "portal-1", true);
  const std::string one = scenario.document().Render("");
  SetDraining(scenario, "portal-1", false);
  SetDraining(scenario, "portal-2", true);
  const std::string other = scenario.document().Render("");
  SetDraining(scenario, "portal-2", false);

  Operator first(platform, folder.File("first.yaml"), one, base);
  Operator second(platform, folder.File("second.yaml"), other, base);
  const std::multiset<int> codes{first.WaitForExit(), second.WaitForExit()};

  CHECK(codes == std::multiset<int>{0, kConflictExitCode});
  const std::uint64_t version = platform.DocumentVersion();
  CHECK(version == base + 1);
  return version;
}

// Kills and restarts the balancers `names` during a platform outage. Returns
// how many did not serve with the version in force within the deadline.
int RestartInOutage(integration::Scenario& scenario,
                    const std::string& mode,
                    const std::vector<std::string>& names) {
  Deployment& deployment = scenario.deployment();
  const std::uint64_t version = scenario.platform().DocumentVersion();
  scenario.platform().Post("outage?mode=" + mode);
  for (const std::string& name : names)
    deployment.KillBalancer(name);
  for (const std::string& name : names)
    deployment.StartBalancer(name);
  int missing = 0;
  for (const std::string& name : names) {
    const auto line = deployment.Balancer(name).FindWithin(
        "ready", kInForceDeadline, [version](const auto& ready) {
          return ready.get("version", std::uint64_t{0}) >= version;
        });
    missing += line ? 0 : 1;
    if (line)
      deployment.AwaitReady(name);
  }
  return missing;
}

// Restarts two balancers in each kind of outage. Returns how many did not serve
// within the deadline.
int RestartInBothOutages(const std::string& settings) {
  integration::Scenario scenario({.m_seed = kSeed, .m_settings = settings});
  const auto caller =
      scenario.deployment().StartCaller(kPortal, {.m_duration = seconds(60)});
  AwaitNewFlows(*caller, 50);

  int missing = RestartInOutage(scenario, "refuse", {"entry-1", "entry-2"});
  AwaitNewFlows(*caller, 50);
  scenario.platform().Post("outage?mode=off");
  SetDraining(scenario, "portal-1", true);
  scenario.PublishAndAwait("after-the-first-outage");
  missing += RestartInOutage(scenario, "silent", {"entry-3", "entry-4"});
  AwaitNewFlows(*caller, 50);
  scenario.platform().Post("outage?mode=off");
  SetDraining(scenario, "portal-1", false);
  scenario.PublishAndAwait("after-the-second-outage");

  CHECK(scenario.deployment().AreVersionsMonotonic());
  const auto report = caller->SendAndWait("stop", "report", seconds(20));
  integration::PrintFigures("restarts in outages, " + std::to_string(missing) +
                                " of 4 not serving in time",
                            kSeed, report);
  CHECK(report.get<int>("wrong_bytes") == 0);
  return missing;
}

// Starts a caller of the portal in `centre`.
std::unique_ptr<ChildProcess> StartPortalCaller(DataCentre& centre) {
  return centre.deployment().StartCaller(
      kPortal, {.m_openings_per_second = 50, .m_duration = seconds(90)});
}

// Cuts a data centre off from the other one and, with the TCP proxy's command
// `cut`, from the platform; then heals both. Does so twice.
void CutOffTwice(const std::string& cut) {
  integration::PlatformControl platform;
  integration::DocumentModel document = integration::MakePortalDocument();
  ChildProcess proxy(integration::kStandInTraffic,
                     {"proxy", "--listen", "127.0.0.1:0", "--target",
                      base::ToString(platform.endpoint()), "--protocol", "tcp",
                      "--seed", std::to_string(kSeed)});
  const auto proxied = base::ParseEndpoint(
      proxy.WaitFor("listening", seconds(10)).get("listen", ""));
  REQUIRE(proxied);
  DataCentre near(platform, document,
                  {.m_name = "a",
                   .m_number = 1,
                   .m_seed = kSeed,
                   .m_has_peer_proxies = true});
  DataCentre far(platform, document,
                 {.m_name = "b",
                  .m_number = 2,
                  .m_seed = kSeed,
                  .m_has_peer_proxies = true});
  far.deployment().SetPlatformEndpoint(*proxied);
  std::uint64_t version = platform.PutDocument(document.Render("first"), 0);
  near.StartBalancers();
  far.StartBalancers();
  const auto near_caller = StartPortalCaller(near);
  const auto far_caller = StartPortalCaller(far);
  near.deployment().AwaitInForce(version);
  far.deployment().AwaitInForce(version);

  auto& drained =
      document.m_services.at(kPortal).m_servers.at("a-portal-1").m_is_draining;
  for (const std::string name : {"b-entry-1", "b-entry-2"}) {
    const std::uint64_t before = version;
    far.deployment().CutFrom(near.deployment());
    proxy.SendAndWait(cut, "done");
    for (int change = 0; change < 2; ++change) {
      drained = !drained;
      version = platform.PutDocument(document.Render("cut"), version);
      REQUIRE(version > before);
      near.deployment().AwaitInForce(version);
    }
    far.deployment().KillBalancer(name);
    far.deployment().RestartBalancer(name);
    CHECK(VersionAtReady(far.deployment(), name) == before);
    AwaitNewFlows(*near_caller, 50);
    AwaitNewFlows(*far_caller, 50);
    CHECK(NewestInForce(far.deployment()) == before);
    const auto start = Now();
    far.deployment().HealFrom(near.deployment());
    proxy.SendAndWait("heal", "done");
    AwaitAndPrint("data centre healed after " + cut, far.deployment(), version,
                  start);
  }

  CHECK(near.deployment().AreVersionsMonotonic());
  CHECK(far.deployment().AreVersionsMonotonic());
  for (ChildProcess* caller : {near_caller.get(), far_caller.get()}) {
    const auto report = caller->SendAndWait("stop", "report", seconds(20));
    integration::PrintFigures("a data centre cut off by " + cut, kSeed, report);
    CHECK(report.get<int>("whole") > 0);
    CHECK(report.get<int>("wrong_bytes") == 0);
  }
}

}  // namespace

TEST_CASE(
    "all balancers apply the one accepted of two concurrent submissions") {
  const TemporaryFolder folder;
  integration::Scenario scenario({.m_seed = kSeed});

  for (const char* fault : {"slow?ms=0", "slow?ms=300"}) {
    scenario.platform().Post(fault);
    const auto start = Now();
    const std::uint64_t version = SubmitConcurrently(scenario, folder);
    AwaitAndPrint("two concurrent submissions", scenario.deployment(), version,
                  start);
    CheckOneSubmission(scenario.deployment(), version);
  }

  CHECK(scenario.deployment().AreVersionsMonotonic());
}

TEST_CASE(
    "a write whose response is lost takes effect once, on all balancers") {
  const TemporaryFolder folder;
  integration::Scenario scenario({.m_seed = kSeed});
  integration::PlatformControl& platform = scenario.platform();

  for (const bool is_draining : {true, false}) {
    platform.Post("slow?ms=200");
    platform.Post("lose-answers?count=1");
    const std::uint64_t base = platform.DocumentVersion();
    SetDraining(scenario, "portal-1", is_draining);
    const auto start = Now();
    Operator submitter(platform, folder.File("lost.yaml"),
                       scenario.document().Render(""), base);
    CHECK(submitter.WaitForExit() == 0);
    CHECK(platform.DocumentVersion() == base + 1);
    AwaitAndPrint("response to the write lost", scenario.deployment(), base + 1,
                  start);
    CheckOneSubmission(scenario.deployment(), base + 1);
  }

  CHECK(scenario.deployment().AreVersionsMonotonic());
}

TEST_CASE("stale reads from the platform put no older version in force") {
  integration::Scenario scenario({.m_seed = kSeed});
  Deployment& deployment = scenario.deployment();

  for (const std::string name : {"entry-1", "entry-2"}) {
    // At first the reads are late by less than the deadline; then they return
    // versions older than the one in force.
    scenario.platform().Post("lag?ms=1000");
    SetDraining(scenario, "portal-1", name == "entry-1");
    const auto start = Now();
    const std::uint64_t version = scenario.Publish("late");
    AwaitAndPrint("reads 1 s late", deployment, version, start);
    scenario.platform().Post("lag?ms=6000");
    deployment.KillBalancer(name);
    deployment.RestartBalancer(name);
    CHECK(VersionAtReady(deployment, name) >= version);
    SetDraining(scenario, "portal-2", name == "entry-1");
    scenario.platform().Post("lag?ms=0");
    scenario.PublishAndAwait("in-time");
  }

  CHECK(deployment.AreVersionsMonotonic());
}

TEST_CASE("balancers that start in an outage fetch the document from peers") {
  CHECK(RestartInBothOutages("") == 0);
}

TEST_CASE("without documents from peers balancers do not serve in an outage") {
  CHECK(RestartInBothOutages("mechanisms: {pull_from_peers: false}\n") > 0);
}

TEST_CASE(
    "a data centre that was cut off catches up and applies no older version") {
  CutOffTwice("cut both");
}

TEST_CASE("a data centre whose connections were reset catches up") {
  CutOffTwice("drop");
}
