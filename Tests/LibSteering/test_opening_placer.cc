#include <doctest/doctest.h>

#include <set>

#include "LibSteering/opening_placer.h"
#include "LibSteering/server_directory.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

struct PlacerFixture {
  KnownServer& Add(const std::string& name, const std::string& data_centre) {
    ServerRecord record = MakeServer(name);
    record.m_data_centre = base::DataCentreId(data_centre);
    m_directory.Apply(record, At(0));
    return *m_directory.FindByName(ServerName(name));
  }

  const KnownServer* Place(const KnownServer* excluded = nullptr) {
    const auto placement = m_placer.Place(m_directory.ServersOf("portal"),
                                          excluded, m_random, At(0));
    return placement ? placement->m_server : nullptr;
  }

  ServerDirectory m_directory;
  OpeningPlacer m_placer{PlacementPolicy(), base::DataCentreId("here")};
  base::Random m_random{3};
};

}  // namespace

TEST_CASE("the least loaded server of the balancer's data centre is chosen") {
  PlacerFixture fixture;
  fixture.Add("i-1", "here").m_requests_in_progress = 2;
  fixture.Add("i-2", "here").m_requests_in_progress = 1;
  fixture.Add("i-3", "there");

  CHECK(fixture.Place()->m_record.m_name == ServerName("i-2"));
}

TEST_CASE(
    "another data centre is chosen once all servers in the own one have "
    "queues") {
  PlacerFixture fixture;
  fixture.Add("i-1", "here").m_requests_in_progress = 6;
  fixture.Add("i-2", "here").m_requests_in_progress = 7;
  fixture.Add("i-3", "there");

  CHECK(fixture.Place()->m_record.m_name == ServerName("i-3"));
}

TEST_CASE("every server of equal cost is chosen at times") {
  PlacerFixture fixture;
  fixture.Add("i-1", "here");
  fixture.Add("i-2", "here");
  fixture.Add("i-3", "here");

  std::set<const KnownServer*> chosen;
  for (int i = 0; i < 100; ++i)
    chosen.insert(fixture.Place());

  CHECK(chosen.size() == 3);
}

TEST_CASE("a server that warms up, drains or failed a probe is avoided") {
  PlacerFixture fixture;
  KnownServer& warming = fixture.Add("i-1", "here");
  warming.m_warm_up_ends_at = At(1000);
  KnownServer& draining = fixture.Add("i-2", "here");
  draining.m_record.m_state = ServerState::kDraining;
  KnownServer& suspected = fixture.Add("i-3", "here");
  suspected.m_reachability.RecordProbeResult(ProbeResult::kSilent, At(0));
  fixture.Add("i-4", "here").m_requests_in_progress = 0;

  CHECK(fixture.Place()->m_record.m_name == ServerName("i-4"));
}

TEST_CASE(
    "a server with one failed probe is chosen if no other is left, but an "
    "unreachable server never is") {
  PlacerFixture fixture;
  KnownServer& server = fixture.Add("i-1", "here");
  server.m_reachability.RecordProbeResult(ProbeResult::kSilent, At(0));
  CHECK(fixture.Place() == &server);

  server.m_reachability.RecordProbeResult(ProbeResult::kSilent, At(0));
  CHECK(fixture.Place() == nullptr);
}

TEST_CASE("the excluded server is not chosen") {
  PlacerFixture fixture;
  const KnownServer& first = fixture.Add("i-1", "here");
  const KnownServer& second = fixture.Add("i-2", "there");

  CHECK(fixture.Place(&first) == &second);
}

}  // namespace steering
