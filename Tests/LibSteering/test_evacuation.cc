#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibSteering/steering.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

ServerRecord MakeServerIn(const std::string& name,
                          const std::string& data_centre,
                          std::uint64_t revision = 1) {
  ServerRecord record = MakeServer(name, revision);
  record.m_data_centre = base::DataCentreId(data_centre);
  return record;
}

// A Steering with the servers "i-here" and "i-there" in two data centres.
class SteeringWithTwoDataCentres : public SteeringWithRoutes {
 public:
  SteeringWithTwoDataCentres() {
    directory().Apply(MakeServerIn("i-here", "here"), At(0));
    directory().Apply(MakeServerIn("i-there", "there"), At(0));
  }

  void Evacuate(std::set<base::DataCentreId> data_centres, int at_ms) {
    directory().SetEvacuated(std::move(data_centres), At(at_ms));
  }
};

// A removed server no longer counts as expired by then.
constexpr int kAfterGraceMs = 3000;
const base::DataCentreId kHere("here");
const base::DataCentreId kThere("there");

std::string NameOfServer(const Decision& decision) {
  const KnownServer* server = ServerOf(decision);
  return server == nullptr ? "" : server->m_record.m_name.value();
}

}  // namespace

TEST_CASE(
    "openings, repeated openings and copies of openings avoid an evacuated "
    "data centre, and open flows stay there") {
  SteeringWithTwoDataCentres steering;
  const Decision open = steering.Handle(MakeOpening(1), At(0));
  REQUIRE(NameOfServer(open) == "i-here");
  steering.Handle(MakeData(1, TokenOf(open), 1, 1, 0), At(5));
  REQUIRE(NameOfServer(steering.Handle(MakeOpening(2), At(5))) == "i-here");

  steering.Evacuate({kHere}, 10);

  for (std::uint16_t port = 100; port < 150; ++port)
    CHECK(NameOfServer(steering.Handle(MakeOpening(port), At(10))) ==
          "i-there");
  const auto copies = steering.PopDueResends(At(45));
  REQUIRE(copies.size() == 1);
  CHECK(NameOfServer(copies[0].m_decision) == "i-there");
  CHECK(NameOfServer(steering.Handle(MakeOpening(2), At(205))) == "i-there");
  const Decision data =
      steering.Handle(MakeData(1, TokenOf(open), 101, 500, 80), At(210));
  CHECK(NameOfServer(data) == "i-here");
}

TEST_CASE(
    "a service with ready servers in evacuated data centres only refuses "
    "openings at once, and sends no copies there") {
  SteeringWithTwoDataCentres steering;
  steering.Handle(MakeOpening(1), At(0));

  steering.Evacuate({kHere, kThere}, 10);

  const Decision refusal = steering.Handle(MakeOpening(2), At(10));
  CHECK(IsReset(refusal));
  CHECK(refusal.m_reason == Reason::kEvacuated);
  CHECK(steering.PopDueResends(At(45)).empty());
  // The balancer stays ready: it forwards the open flows.
  CHECK(steering.IsReady());
  CHECK(steering.HasReachableServer());

  steering.Evacuate({kThere}, 100);

  CHECK(NameOfServer(steering.Handle(MakeOpening(3), At(100))) == "i-here");
  CHECK(steering.EvacuationEndedAt(kHere) == At(100));
  CHECK_FALSE(steering.EvacuationEndedAt(kThere));
}

TEST_CASE(
    "an unreachable server elsewhere is reported as such, not as an "
    "evacuation") {
  SteeringWithTwoDataCentres steering;
  steering.Evacuate({kHere}, 10);
  FailProbes(steering, "i-there", 20);

  CHECK(steering.Handle(MakeOpening(1), At(30)).m_reason == Reason::kNoServer);
}

TEST_CASE("a server that registers in an evacuated data centre gets nothing") {
  SteeringWithTwoDataCentres steering;
  steering.Evacuate({kThere, base::DataCentreId("unknown")}, 10);
  steering.directory().Remove(ServerName("i-here"), At(20));

  steering.directory().Apply(MakeServerIn("i-new", "there"), At(20));
  // Its record is written again, with no effect on the evacuation.
  steering.directory().Apply(MakeServerIn("i-there", "there", 2), At(20));

  CHECK(steering.Handle(MakeOpening(1), At(kAfterGraceMs)).m_reason ==
        Reason::kEvacuated);
}

TEST_CASE("a server that drains stays excluded when the evacuation ends") {
  SteeringWithTwoDataCentres steering;
  steering.Evacuate({kHere}, 10);
  ServerRecord draining = MakeServerIn("i-here", "here", 2);
  draining.m_state = ServerState::kDraining;
  steering.directory().Apply(draining, At(20));

  steering.Evacuate({}, 30);

  CHECK(NameOfServer(steering.Handle(MakeOpening(1), At(40))) == "i-there");
}

TEST_CASE(
    "when all records expire, an expired server gets openings unless its data "
    "centre is evacuated") {
  SteeringWithTwoDataCentres steering;
  steering.Evacuate({kHere}, 10);
  steering.directory().Remove(ServerName("i-here"), At(20));
  steering.directory().Remove(ServerName("i-there"), At(20));

  CHECK(NameOfServer(steering.Handle(MakeOpening(1), At(30))) == "i-there");
  steering.Evacuate({kHere, kThere}, 40);
  CHECK(steering.Handle(MakeOpening(2), At(50)).m_reason == Reason::kEvacuated);
}

TEST_CASE(
    "an expired server elsewhere gets openings though registered servers are "
    "left in an evacuated data centre") {
  SteeringWithTwoDataCentres steering;
  steering.Evacuate({kHere}, 10);
  steering.directory().Remove(ServerName("i-there"), At(20));

  CHECK(NameOfServer(steering.Handle(MakeOpening(1), At(30))) == "i-there");
}

TEST_CASE("openings wait for the evacuations after a start") {
  SteeringWithTwoDataCentres steering;
  steering.SetAwaitsEvacuations(true);
  CHECK(steering.Handle(MakeOpening(1), At(0)).m_reason == Reason::kNotReady);
  CHECK_FALSE(steering.IsReady());

  steering.SetAwaitsEvacuations(false);
  CHECK(ServerOf(steering.Handle(MakeOpening(1), At(1))) != nullptr);
}

TEST_CASE("the ends of evacuations of any names take bounded memory") {
  ServerDirectory directory;
  const auto name = [](std::size_t i) {
    return base::DataCentreId("hall-" + std::to_string(i));
  };
  const std::size_t last = ServerDirectory::kMaximumEvacuationEnds + 1;
  for (std::size_t i = 0; i <= last; ++i) {
    directory.SetEvacuated({name(i)}, At(static_cast<int>(i)));
    directory.SetEvacuated({}, At(static_cast<int>(i)));
  }

  CHECK_FALSE(directory.EvacuationEndedAt(name(0)));
  CHECK(directory.EvacuationEndedAt(name(last)) == At(static_cast<int>(last)));
}

// A data centre was evacuated and then cut off: its balancers sent all openings
// to servers that they could not reach, while the servers beside them served.
TEST_CASE(
    "a balancer that is cut off in an evacuated data centre serves there") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServerIn("i-here", "here"), At(0));
  const std::vector<std::string> remote = {"i-1", "i-2", "i-3", "i-4", "i-5"};
  for (const std::string& name : remote)
    steering.directory().Apply(MakeServerIn(name, "there"), At(0));
  steering.directory().SetEvacuated({kHere}, At(0));
  const auto fail_probes = [&](int at_ms) {
    for (const std::string& name : remote)
      steering.RecordProbeResult(
          steering.directory().FindByName(ServerName(name))->m_handle,
          ProbeResult::kSilent, At(at_ms));
  };
  fail_probes(100);

  // The view is known to be current, so the evacuation is in force.
  const Decision current = steering.Handle(MakeOpening(1), At(400));
  CHECK(NameOfServer(current) != "i-here");
  steering.SetRoutesCurrent(false);
  const Decision cut_off = steering.Handle(MakeOpening(2), At(400));
  CHECK(NameOfServer(cut_off) == "i-here");
  CHECK(cut_off.m_reason == Reason::kPlacedInEvacuated);
  // A sign of any other server shows that the cut has ended.
  steering.RecordProbeResult(
      steering.directory().FindByName(ServerName("i-3"))->m_handle,
      ProbeResult::kAnswered, At(500));
  CHECK(NameOfServer(steering.Handle(MakeOpening(3), At(500))) == "i-3");
}

TEST_CASE("a bulk transfer on the balancer's link does not look like a cut") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServerIn("i-here", "here"), At(0));
  steering.directory().Apply(MakeServerIn("i-1", "there"), At(0));
  steering.directory().SetEvacuated({kHere}, At(0));
  steering.SetRoutesCurrent(false);
  const auto handle = steering.directory().FindByName(ServerName("i-1"));
  for (std::uint32_t i = 0; i < RemoteReachability::kFailedProbesForCut; ++i)
    CHECK(steering
              .RecordProbeResult(handle->m_handle, ProbeResult::kSilent,
                                 At(100), 100'000)
              .m_is_inconclusive);

  CHECK(NameOfServer(steering.Handle(MakeOpening(1), At(400))) == "i-1");
}

// In a data centre that was cut off, callers acknowledged answers from before
// the cut with their next requests. Each such packet ended the verdict, and
// openings went to the other data centres for another 500 ms.
TEST_CASE("an answer from before the failed probes does not end a cut") {
  RemoteReachability remote;
  for (std::uint32_t i = 0; i < RemoteReachability::kFailedProbesForCut; ++i)
    remote.RecordFailedProbe(At(100));
  REQUIRE(remote.IsCutOff(At(300)));

  remote.RecordSign(At(99));

  CHECK(remote.IsCutOff(At(300)));
  remote.RecordSign(At(100));
  CHECK_FALSE(remote.IsCutOff(At(300)));
}

}  // namespace steering
