// Openings to services with so many servers that only a sample is considered.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "LibBase/random.h"
#include "LibSteering/opening_placer.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr int kMany = 3'000;

// A Steering with `count` servers, one of three in its own data centre.
struct LargeService : SteeringWithRoutes {
  explicit LargeService(int count) {
    for (int i = 0; i < count; ++i) {
      ServerRecord record = MakeServer("i-" + std::to_string(i));
      record.m_data_centre = base::DataCentreId(i % 3 == 0   ? "here"
                                                : i % 3 == 1 ? "b"
                                                             : "c");
      directory().Apply(record, At(0));
    }
  }
  KnownServer& Server(int number) {
    return *directory().FindByName(ServerName("i-" + std::to_string(number)));
  }
  void SetRequests(int number, std::uint32_t requests) {
    Server(number).m_requests_in_progress = requests;
    ServerDirectory::UpdateIndex(Server(number));
  }
  void Drain(int number) {
    ServerRecord record = Server(number).m_record;
    record.m_state = ServerState::kDraining;
    directory().Apply(record, At(1));
  }
  const KnownServer* Open(int at_ms = 10) {
    return ServerOf(Handle(MakeOpening(++m_port), At(at_ms)));
  }

  std::uint16_t m_port = 0;
};

}  // namespace

TEST_CASE("placement among up to 300 servers is that of a full scan") {
  LargeService steering(ServerDirectory::kMaximumScannedServers);
  base::Random random(1);
  const OpeningPlacer placer(PlacementPolicy(), base::DataCentreId("here"));
  base::Random load(7);
  for (int i = 0; i < 300; ++i) {
    steering.SetRequests(i, static_cast<std::uint32_t>(load.Below(4)));
    if (i % 7 == 0)
      steering.Drain(i);
  }
  for (int i = 0; i < 500; ++i) {
    const auto scanned = placer.Place(steering.directory().ServersOf("portal"),
                                      nullptr, random, At(10));
    REQUIRE(scanned.has_value());
    CHECK(steering.Open() == scanned->m_server);
  }
}

TEST_CASE("the one idle server of the own data centre is found") {
  LargeService steering(kMany);
  for (int i = 0; i < kMany; ++i)
    steering.SetRequests(i, i % 3 == 0 ? 1 : 0);
  for (int i = 0; i < 50; ++i) {
    const int idle = 3 * (17 * i % 1000);
    steering.SetRequests(idle, 0);
    CHECK(steering.Open() == &steering.Server(idle));
    steering.SetRequests(idle, 1);
  }
}

TEST_CASE("openings stay in the own data centre while it has free slots") {
  LargeService steering(kMany);
  for (int i = 0; i < kMany; i += 3)
    steering.SetRequests(i, i % 2 == 0 ? 1 : 2);
  for (int i = 0; i < 200; ++i) {
    const KnownServer* server = steering.Open();
    REQUIRE(server != nullptr);
    CHECK(server->m_record.m_data_centre == base::DataCentreId("here"));
    CHECK(server->m_requests_in_progress == 2);
  }
}

TEST_CASE(
    "openings without regard to the data centre reach each in proportion to "
    "its "
    "servers") {
  LargeService steering(kMany);
  for (int i = 0; i < 900; i += 3)
    steering.Drain(i);
  base::Random random(3);
  std::size_t own = 0;
  std::size_t all = 0;
  for (int i = 0; i < 100; ++i) {
    const auto sample = steering.directory().SampleOf(
        "portal", {base::DataCentreId("here"), true, false}, random);
    REQUIRE(sample.has_value());
    for (const KnownServer* server : *sample)
      own += server->m_record.m_data_centre == base::DataCentreId("here");
    all += sample->size();
  }
  // 700 of 2,700 servers that may get openings.
  CHECK(own * 100 / all >= 24);
  CHECK(own * 100 / all <= 27);
}

TEST_CASE(
    "idle servers that leave requests unanswered do not hide the others") {
  LargeService steering(kMany);
  for (int i = 0; i < kMany; ++i) {
    steering.SetRequests(i, i % 2 == 0 ? 0 : 1);
    for (int request = 0; i % 2 == 0 && request < 4; ++request)
      steering.Server(i).m_answer_statistics.RecordUnanswered(At(0));
  }
  for (int i = 0; i < 200; ++i) {
    const KnownServer* server = steering.Open();
    REQUIRE(server != nullptr);
    CHECK(server->m_answer_statistics.UnansweredShare(At(10)) == 0);
  }
}

TEST_CASE(
    "a service with two ready servers among thousands that are draining, "
    "unreachable or evacuated is served") {
  LargeService steering(kMany);
  for (int i = 0; i < kMany; ++i) {
    if (i == 1500 || i == 2001 || i % 3 == 1)
      continue;
    if (i % 2 == 0)
      steering.Drain(i);
    else
      FailProbes(steering, "i-" + std::to_string(i), 5);
  }
  steering.SetEvacuated({base::DataCentreId("b")}, At(6));
  CHECK(steering.directory().Count(ServerState::kReady) > 2);
  for (int i = 0; i < 20; ++i) {
    const KnownServer* server = steering.Open();
    CHECK(
        (server == &steering.Server(1500) || server == &steering.Server(2001)));
  }
  FailProbes(steering, "i-1500", 20);
  FailProbes(steering, "i-2001", 20);
  CHECK(steering.Open(30) == nullptr);
  steering.RecordProbeResult(steering.Server(2001).m_handle,
                             ProbeResult::kAnswered, At(40));
  CHECK(steering.Open(50) == &steering.Server(2001));
}

TEST_CASE("a cold server with budget is found outside of the sample") {
  LargeService steering(kMany);
  Manifest manifest = MakeManifest(2);
  manifest.m_services = {{"portal", "", std::chrono::seconds(60), 20}};
  steering.ApplyManifest(manifest);
  steering.warm_up().SetLimits({1.5, 5});
  steering.warm_up().SetBalancers(2'000);
  for (int i = 0; i < kMany; ++i)
    steering.Server(i).m_cold_until = At(1'000'000);
  // Each balancer may send an opening to a server within a window of 250 ms
  // every 3 minutes, so four servers have budget at a time on average.
  int placed = 0;
  for (int i = 0; i < 50; ++i)
    placed += steering.Open(1000 + 500 * i) != nullptr ? 1 : 0;
  CHECK(placed > 40);
}

TEST_CASE("the sums over a service equal the values of its servers") {
  LargeService steering(600);
  base::Random random(5);
  ServerDirectory& directory = steering.directory();
  for (int step = 0; step < 20'000; ++step) {
    const int number = static_cast<int>(random.Below(600));
    KnownServer& server = steering.Server(number);
    ServerRecord record = server.m_record;
    switch (random.Below(6)) {
      case 0:
        directory.Remove(record.m_name, At(step));
        break;
      case 1:
        record.m_state =
            random.Below(2) == 0 ? ServerState::kDraining : ServerState::kReady;
        record.m_slots = static_cast<std::uint32_t>(random.Below(4));
        record.m_service = random.Below(8) == 0 ? "other" : "portal";
        record.m_incarnation += static_cast<std::int64_t>(random.Below(2));
        directory.Apply(record, At(step));
        break;
      case 2:
        steering.RecordProbeResult(server.m_handle,
                                   random.Below(3) == 0 ? ProbeResult::kAnswered
                                                        : ProbeResult::kSilent,
                                   At(step));
        break;
      default:
        steering.SetRequests(number,
                             static_cast<std::uint32_t>(random.Below(3)));
    }
  }
  ServiceTotals sums;
  for (const KnownServer* server : directory.ServersOf("portal")) {
    ++sums.m_registered;
    sums.m_ready += server->AcceptsOpenings() ? 1 : 0;
    sums.m_requests += server->m_requests_in_progress;
    sums.m_slots += std::max(1U, server->m_record.m_slots);
    if (!server->m_reachability.IsUnreachable())
      sums.m_reachable_requests += server->m_requests_in_progress;
  }
  const ServiceTotals totals = directory.TotalsOf("portal");
  CHECK(totals.m_registered == sums.m_registered);
  CHECK(totals.m_ready == sums.m_ready);
  CHECK(totals.m_requests == sums.m_requests);
  CHECK(totals.m_reachable_requests == sums.m_reachable_requests);
  CHECK(totals.m_slots == sums.m_slots);
}

}  // namespace steering
