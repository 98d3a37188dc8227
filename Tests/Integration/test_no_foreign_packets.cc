// Guards against packets for one service that reach a server of another one.
// They could when server addresses move between services while balancers are
// frozen, killed, or learn of the change at different times.

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <thread>

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
// How long thawed balancers can reach only each other: in this time each of six
// balancers probes every other one.
constexpr auto kIsolationTime = milliseconds(1500);

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
             .m_extra_options = {"--feed-interval-ms", "200"}})) {}

  void AwaitNewFlows(int count) {
    const auto report = m_shorts->SendAndWait("report", "report");
    const int target = report.get("established", 0) + count;
    m_shorts->WaitFor("progress", seconds(20), [target](const auto& line) {
      return line.get("established", 0) >= target;
    });
  }

  std::unique_ptr<integration::ChildProcess> m_shorts;
  std::unique_ptr<integration::ChildProcess> m_feeds;
};

// The balancers that a thawed balancer can reach at first.
enum class ReachablePeers { kAll, kOnlyEachOther };

struct Round {
  std::vector<std::string> m_frozen;
  // No balancer is killed if empty.
  std::string m_killed;
  // The servers that move, each with its new service.
  std::vector<std::pair<std::string, std::string>> m_moves;
  ReachablePeers m_reachable_after_thaw = ReachablePeers::kAll;
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

class ForeignPacketTest {
 public:
  explicit ForeignPacketTest(const std::string& settings)
      : m_scenario({.m_portal_servers = 4,
                    .m_archive_servers = 4,
                    .m_seed = kSeed,
                    .m_settings = settings}),
        m_portal(m_scenario, kPortal),
        m_archive(m_scenario, kArchive) {}

  // Moves servers while some balancers are frozen and another is killed.
  void Run(const Round& round) {
    integration::Deployment& deployment = m_scenario.deployment();
    m_scenario.platform().Post("lag?ms=400");
    m_portal.AwaitNewFlows(kOpeningsWhileFrozen);
    if (round.m_reachable_after_thaw == ReachablePeers::kOnlyEachOther)
      Suspend(round.m_frozen);
    else
      Freeze(round.m_frozen);
    m_portal.AwaitNewFlows(kOpeningsWhileFrozen);
    m_archive.AwaitNewFlows(kOpeningsWhileFrozen);

    for (const auto& [server, service] : round.m_moves)
      MoveServer(m_scenario.document(), server, service);
    const std::uint64_t version = m_scenario.Publish("moved");
    if (!round.m_killed.empty())
      deployment.KillBalancer(round.m_killed);
    deployment.AwaitInForce(version);
    for (const auto& [server, service] : round.m_moves)
      SwitchService(server, service);
    for (const auto& [server, service] : round.m_moves)
      AwaitUse(server);

    if (round.m_reachable_after_thaw == ReachablePeers::kOnlyEachOther)
      ThawInIsolation(round.m_frozen);
    else
      Thaw(round.m_frozen);
    deployment.AwaitInForce(version);
    m_portal.AwaitNewFlows(kOpeningsWhileFrozen);
    m_archive.AwaitNewFlows(kOpeningsWhileFrozen);
    m_scenario.platform().Post("lag?ms=0");
  }

  std::uint64_t CountForeignPackets() {
    return m_scenario.deployment().SumOverServers("foreign_packets");
  }

 private:
  // Freezes balancers so that they lose the messages that peers send meanwhile.
  void Suspend(const std::vector<std::string>& names) {
    Freeze(names);
    for (const std::string& name : names)
      m_scenario.deployment().FillPeerSocket(name);
  }

  void Freeze(const std::vector<std::string>& names) {
    for (const std::string& name : names)
      m_scenario.deployment().FreezeBalancer(name);
  }

  void Thaw(const std::vector<std::string>& names) {
    for (const std::string& name : names)
      m_scenario.deployment().ThawBalancer(name);
  }

  // Thaws the balancers while all others are frozen and the platform is down.
  void ThawInIsolation(const std::vector<std::string>& names) {
    std::vector<std::string> others = m_scenario.deployment().BalancerNames();
    std::erase_if(others, [&names](const std::string& name) {
      return std::ranges::find(names, name) != names.end();
    });
    m_scenario.platform().Post("outage?mode=refuse");
    Freeze(others);
    Thaw(names);
    std::this_thread::sleep_for(kIsolationTime);
    Thaw(others);
    m_scenario.platform().Post("outage?mode=off");
  }

  void SwitchService(const std::string& server, const std::string& service) {
    const auto address = m_scenario.document().m_services.at(service).m_address;
    m_scenario.deployment().Server(server).SendAndWait(
        "become " + service + " " + base::ToString(address), "done");
    m_accepted[server] = CountAccepted(server);
  }

  int CountAccepted(const std::string& server) {
    return m_scenario.deployment()
        .Server(server)
        .SendAndWait("report", "report")
        .get<int>("accepted");
  }

  // Waits until the balancers use the address for its new service.
  void AwaitUse(const std::string& server) {
    const auto end = std::chrono::steady_clock::now() + kUseDeadline;
    while (CountAccepted(server) == m_accepted[server]) {
      REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end,
                      server << " received no flow of its new service");
      m_portal.AwaitNewFlows(1);
    }
  }

  integration::Scenario m_scenario;
  Load m_portal;
  Load m_archive;
  std::map<std::string, int> m_accepted;
};

const std::vector<std::pair<std::string, std::string>> kSwap = {
    {"portal-1", kArchive},
    {"portal-2", kArchive},
    {"archive-1", kPortal},
    {"archive-2", kPortal}};
const std::vector<std::pair<std::string, std::string>> kSwapBack = {
    {"portal-1", kPortal},
    {"portal-2", kPortal},
    {"archive-1", kArchive},
    {"archive-2", kArchive}};

// Swaps the addresses and swaps them back. Returns the number of foreign
// packets.
std::uint64_t SwapTwice(const std::string& name,
                        const std::string& settings,
                        const Round& first_swap,
                        const Round& second_swap) {
  ForeignPacketTest test(settings);
  test.Run(first_swap);
  const std::uint64_t first = test.CountForeignPackets();
  test.Run(second_swap);
  const std::uint64_t both = test.CountForeignPackets();
  std::cout << "addresses swapped twice, " << name << ": seed " << kSeed
            << ", foreign packets " << first << " after the first swap, "
            << both << " after both\n";
  return both;
}

// In each swap one balancer is frozen and another killed.
std::uint64_t SwapWithOneFrozen(const std::string& name,
                                const std::string& settings) {
  return SwapTwice(
      name, settings,
      {.m_frozen = {"entry-1"}, .m_killed = "entry-2", .m_moves = kSwap},
      {.m_frozen = {"entry-3"}, .m_killed = "entry-4", .m_moves = kSwapBack});
}

// Two balancers are frozen in the first swap and four in the second. They thaw
// together and can reach only each other at first.
std::uint64_t SwapWithSeveralFrozen(const std::string& name,
                                    const std::string& settings) {
  return SwapTwice(name, settings,
                   {.m_frozen = {"entry-1", "entry-2"},
                    .m_moves = kSwap,
                    .m_reachable_after_thaw = ReachablePeers::kOnlyEachOther},
                   {.m_frozen = {"entry-3", "entry-4", "entry-5", "entry-6"},
                    .m_moves = kSwapBack,
                    .m_reachable_after_thaw = ReachablePeers::kOnlyEachOther});
}

}  // namespace

TEST_CASE("no packet reaches another service when server addresses move") {
  CHECK(SwapWithOneFrozen("all mechanisms", "") == 0);
}

TEST_CASE("balancers that thaw together do not renew each other's lease") {
  CHECK(SwapWithSeveralFrozen("two, then four thaw together", "") == 0);
}

TEST_CASE("without lease and address hold packets reach another service") {
  CHECK(SwapWithOneFrozen("no lease, no hold",
                          "mechanisms: {configuration_lease: false, "
                          "address_hold: false}\n") > 0);
}

TEST_CASE(
    "without the lease packets of a thawed balancer reach another service") {
  CHECK(SwapWithOneFrozen("no lease",
                          "mechanisms: {configuration_lease: false}\n") > 0);
}
