// Promise: no packet meant for one service ever reaches another, although
// server addresses move between services while balancers stand still, die and
// hear of the change at different times.

#include <doctest/doctest.h>

#include <iostream>

#include "scenario.h"

using integration::kArchive;
using integration::kPortal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 51;
// An address is held for 3 s after the change is in force.
constexpr auto kUseDeadline = integration::kInForceDeadline + seconds(6);
constexpr int kOpeningsWhileFrozen = 60;

struct Load {
  Load(integration::Scenario& scenario, const std::string& service)
      : m_shorts(scenario.deployment().StartCaller(
            service,
            {.m_openings_per_second = 80, .m_duration = seconds(120)})),
        m_feeds(scenario.deployment().StartCaller(
            service,
            {.m_kind = "feed",
             .m_openings_per_second = 20,
             .m_duration = seconds(120),
             .m_more = {"--feed-interval-ms", "200"}})) {}

  void AwaitMore(int count) {
    const auto report = m_shorts->Ask("report", "report");
    const int target = report.get("established", 0) + count;
    m_shorts->WaitFor("progress", seconds(20), [target](const auto& line) {
      return line.get("established", 0) >= target;
    });
  }

  std::unique_ptr<integration::ChildProcess> m_shorts;
  std::unique_ptr<integration::ChildProcess> m_feeds;
};

struct Round {
  std::string m_frozen;
  std::string m_killed;
  // The servers that move, and the services they move to.
  std::vector<std::pair<std::string, std::string>> m_moves;
};

const char* OtherService(const std::string& service) {
  return service == kPortal ? kArchive : kPortal;
}

void MoveServer(integration::DocumentModel& document,
                const std::string& server,
                const std::string& service) {
  auto node =
      document.m_services.at(OtherService(service)).m_servers.extract(server);
  ++node.mapped().m_incarnation;
  document.m_services.at(service).m_servers.insert(std::move(node));
}

class ForeignPacketProof {
 public:
  explicit ForeignPacketProof(const std::string& settings)
      : m_scenario({.m_portal_servers = 4,
                    .m_archive_servers = 4,
                    .m_seed = kSeed,
                    .m_settings = settings}),
        m_portal(m_scenario, kPortal),
        m_archive(m_scenario, kArchive) {}

  // One balancer stands still through the move and another dies in it.
  void Run(const Round& round) {
    integration::Deployment& deployment = m_scenario.deployment();
    m_scenario.platform().Post("lag?ms=400");
    m_portal.AwaitMore(kOpeningsWhileFrozen);
    deployment.FreezeBalancer(round.m_frozen);
    m_portal.AwaitMore(kOpeningsWhileFrozen);
    m_archive.AwaitMore(kOpeningsWhileFrozen);

    for (const auto& [server, service] : round.m_moves)
      MoveServer(m_scenario.document(), server, service);
    const std::uint64_t version = m_scenario.Publish("moved");
    deployment.KillBalancer(round.m_killed);
    deployment.AwaitInForce(version);
    for (const auto& [server, service] : round.m_moves)
      Become(server, service);
    for (const auto& [server, service] : round.m_moves)
      AwaitUse(server);

    deployment.ThawBalancer(round.m_frozen);
    deployment.AwaitInForce(version);
    m_portal.AwaitMore(kOpeningsWhileFrozen);
    m_archive.AwaitMore(kOpeningsWhileFrozen);
    m_scenario.platform().Post("lag?ms=0");
  }

  std::uint64_t CountForeignPackets() {
    return m_scenario.deployment().SumOverServers("foreign_packets");
  }

 private:
  void Become(const std::string& server, const std::string& service) {
    const auto address = m_scenario.document().m_services.at(service).m_address;
    m_scenario.deployment().Server(server).Ask(
        "become " + service + " " + base::ToString(address), "done");
    m_accepted[server] = CountAccepted(server);
  }

  int CountAccepted(const std::string& server) {
    return m_scenario.deployment()
        .Server(server)
        .Ask("report", "report")
        .get<int>("accepted");
  }

  // Waits until the balancers use the address for its new service.
  void AwaitUse(const std::string& server) {
    const auto end = std::chrono::steady_clock::now() + kUseDeadline;
    while (CountAccepted(server) == m_accepted[server]) {
      REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end,
                      server << " was not used by its new service");
      m_portal.AwaitMore(1);
    }
  }

  integration::Scenario m_scenario;
  Load m_portal;
  Load m_archive;
  std::map<std::string, int> m_accepted;
};

// The foreign packets of two swaps, there and back.
std::uint64_t SwapTwice(const std::string& name, const std::string& settings) {
  ForeignPacketProof proof(settings);
  proof.Run({.m_frozen = "entry-1",
             .m_killed = "entry-2",
             .m_moves = {{"portal-1", kArchive},
                         {"portal-2", kArchive},
                         {"archive-1", kPortal},
                         {"archive-2", kPortal}}});
  const std::uint64_t first = proof.CountForeignPackets();
  proof.Run({.m_frozen = "entry-3",
             .m_killed = "entry-4",
             .m_moves = {{"portal-1", kPortal},
                         {"portal-2", kPortal},
                         {"archive-1", kArchive},
                         {"archive-2", kArchive}}});
  const std::uint64_t both = proof.CountForeignPackets();
  std::cout << "addresses swapped twice, " << name << ": seed " << kSeed
            << ", foreign packets " << first << " after the first swap, "
            << both << " after both\n";
  return both;
}

}  // namespace

TEST_CASE("no packet reaches another service when addresses move") {
  CHECK(SwapTwice("all mechanisms", "") == 0);
}

TEST_CASE("without lease and hold the same moves send packets astray") {
  CHECK(SwapTwice("no lease, no hold",
                  "mechanisms: {configuration_lease: false, "
                  "address_hold: false}\n") > 0);
}

TEST_CASE("without the lease alone a thawed balancer sends packets astray") {
  CHECK(SwapTwice("no lease", "mechanisms: {configuration_lease: false}\n") >
        0);
}
