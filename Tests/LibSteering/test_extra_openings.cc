#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

class ExtraSteering : public Steering {
 public:
  explicit ExtraSteering(double percent, int servers = 4)
      : Steering({.m_data_centre = base::DataCentreId("here"),
                  .m_extra_openings_percent = percent},
                 1,
                 At(0)) {
    SetServersKnown();
    ApplyManifest(MakeManifest(1));
    SetRoutesCurrent(true);
    SetViewCurrentAsOf(base::TimePoint::max());
    for (int i = 0; i < servers; ++i)
      directory().Apply(MakeServer("i-" + std::to_string(i)), At(0));
  }

  // Sends a request on a new flow every 50 ms until `until_ms`. A handshake
  // takes 8 ms, an answer 20 ms or `slow_ms` from the server i-0. Returns the
  // servers of the openings.
  std::vector<std::string> Run(int until_ms,
                               int slow_ms = 20,
                               std::uint16_t service_port = kFeedPort) {
    std::vector<std::string> servers;
    for (; m_now < until_ms; m_now += 50) {
      const std::uint16_t port = ++m_port;
      const Decision opening =
          Handle(MakeOpening(port, service_port), At(m_now));
      const std::string name = ServerOf(opening)->m_record.m_name.value();
      const FlowToken token = TokenOf(opening);
      const int done = m_now + 8 + (name == "i-0" ? slow_ms : 20);
      Handle(MakeData(port, token, 1, 500, 80, service_port), At(m_now + 8));
      Handle(MakeData(port, token, 81, 900, 0, service_port), At(done));
      CallerPacket end = MakeData(port, token, 81, 900, 0, service_port);
      end.m_is_end = true;
      Handle(end, At(done));
      PopDueResends(At(m_now + 49));
      Sweep(At(m_now + 49));
      servers.push_back(name);
    }
    return servers;
  }

  int Now() const { return m_now; }
  ExtraOpeningCounts Counts(ExtraReason reason) const {
    return extra_openings().CountsOf(reason);
  }

 private:
  int m_now = 0;
  std::uint16_t m_port = 0;
};

}  // namespace

TEST_CASE("without a budget, placement and resends are the plain ones") {
  ExtraSteering steering(0);
  base::Random random(1);
  const OpeningPlacer placer(PlacementPolicy(), base::DataCentreId("here"));
  const auto& servers = steering.directory().ServersOf("portal");
  while (steering.Now() < 20'000) {
    const auto expected =
        placer.Place(servers, nullptr, random, At(steering.Now()));
    CHECK(steering.Run(steering.Now() + 50, 160)[0] ==
          expected->m_server->m_record.m_name.value());
  }
  steering.Handle(MakeOpening(9999), At(20'000));

  CHECK(steering.NextResendAt() == At(20'040));
  CHECK(steering.TakeSlowServerChanges().empty());
}

TEST_CASE(
    "an opening without a handshake is copied early if the budget covers it, "
    "and its server is probed once the caller chose the copy") {
  ExtraSteering steering(5);
  steering.Run(10'000);
  const Decision opening = steering.Handle(MakeOpening(9999), At(10'000));
  const auto resends = steering.PopDueResends(At(10'008));

  REQUIRE(resends.size() == 1);
  CHECK(ServerOf(resends[0].m_decision) != ServerOf(opening));
  CHECK(resends[0].m_decision.m_extra == ExtraReason::kEarlyCopy);
  CHECK(steering.NextResendAt() == At(10'048));
  CHECK(steering.StartDueProbes(At(10'010)).empty());
  // The caller opens the flow at the second server, so the first one, which did
  // not answer, has to be probed.
  steering.Handle(MakeData(9999, TokenOf(resends[0].m_decision), 1, 500, 80),
                  At(10'016));
  CHECK(steering.Counts(ExtraReason::kEarlyCopy).m_acknowledged == 1);
  const auto probes = steering.StartDueProbes(At(10'016));
  REQUIRE(probes.size() == 1);
  CHECK(probes[0] == ServerOf(opening));
}

TEST_CASE("requests that may run only once get no early copies and no trials") {
  ExtraSteering steering(20);
  steering.Run(10'000);
  steering.Handle(MakeOpening(9999, kDeclarationPort), At(10'000));
  CHECK(steering.NextResendAt() == At(10'040));
  steering.PopDueResends(At(10'050));

  // The server i-0 is found slow by the other requests, and the ones that run
  // only once go on as without a budget.
  steering.Run(40'000, 160);
  const auto servers = steering.Run(50'000, 160, kDeclarationPort);
  CHECK(std::count(servers.begin(), servers.end(), "i-0") >= 30);
  CHECK(steering.Counts(ExtraReason::kEarlyCopy).m_sent == 0);
}

TEST_CASE(
    "openings of repeatable requests avoid a slow server and try it again "
    "until it has recovered") {
  ExtraSteering steering(20, 12);
  steering.Run(10'000);
  steering.Run(30'000, 160);
  const auto servers = steering.Run(60'000, 160);
  const auto at_slow = std::count(servers.begin(), servers.end(), "i-0");

  // A twelfth of the 600 openings would be 50, and an eighth of that is tried.
  CHECK(at_slow >= 5);
  CHECK(at_slow <= 8);
  CHECK(steering.Counts(ExtraReason::kTrial).m_sent >= 5);
  const auto recovered = steering.Run(100'000);
  CHECK(std::count(recovered.end() - 400, recovered.end(), "i-0") >= 15);
}

TEST_CASE(
    "with a data centre cut off, copies stay in the budget and none gets "
    "lost") {
  ExtraSteering steering(5, 0);
  for (int i = 0; i < 16; ++i) {
    ServerRecord record = MakeServer("far-" + std::to_string(i));
    record.m_data_centre = base::DataCentreId("there");
    steering.directory().Apply(record, At(0));
  }
  steering.Run(10'000);
  // 40 openings to the servers of the other data centre get no answer.
  for (int i = 0; i < 40; ++i)
    steering.Handle(MakeOpening(static_cast<std::uint16_t>(5000 + i)),
                    At(10'000));
  const auto early = steering.PopDueResends(At(10'008));
  const auto later = steering.PopDueResends(At(10'040));

  // 5% of the 240 openings of the window.
  CHECK(early.size() >= 11);
  CHECK(early.size() <= 12);
  CHECK(early.size() + later.size() == 40);
  CHECK(steering.Counts(ExtraReason::kEarlyCopy).m_refused == later.size());
  CHECK(steering.StartDueProbes(At(10'050)).size() == 16);
}

TEST_CASE("an overloaded service gets no early copies") {
  ExtraSteering steering(20);
  steering.Run(10'000);
  for (KnownServer* server : steering.directory().ServersOf("portal")) {
    server->m_requests_in_progress = 9;
    ServerDirectory::UpdateIndex(*server);
  }
  steering.Handle(MakeOpening(9999), At(10'000));

  CHECK(steering.PopDueResends(At(10'008)).empty());
  CHECK(steering.PopDueResends(At(10'040)).size() == 1);
}

}  // namespace steering
