#include <doctest/doctest.h>

#include <set>
#include <string>

#include "LibSteering/steering.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

// Opens a flow from `port`, completes its handshake and returns its token.
FlowToken OpenFlow(Steering& steering,
                   std::uint16_t port,
                   int at,
                   std::uint16_t service_port = kFeedPort) {
  const Decision opening =
      steering.Handle(MakeOpening(port, service_port), At(at));
  const FlowToken token = TokenOf(opening);
  steering.Handle(MakeData(port, token, 101, 500, 0, service_port), At(at + 3));
  return token;
}

}  // namespace

TEST_CASE("any balancer forwards a flow's packets by their token") {
  SteeringWithRoutes first;
  SteeringWithRoutes second;
  for (const char* name : {"i-1", "i-2", "i-3"}) {
    first.directory().Apply(MakeServer(name), At(0));
    second.directory().Apply(MakeServer(name), At(0));
  }
  const Decision opening = first.Handle(MakeOpening(1), At(0));

  const Decision forwarded =
      second.Handle(MakeData(1, TokenOf(opening), 101, 500, 80), At(5));

  REQUIRE(ServerOf(forwarded) != nullptr);
  CHECK(ServerOf(forwarded)->m_record.m_name ==
        ServerOf(opening)->m_record.m_name);
  CHECK(TokenOf(forwarded) == TokenOf(opening));
}

TEST_CASE(
    "a packet with an unknown token is dropped, neither forwarded nor reset") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));

  const Decision decision =
      steering.Handle(MakeData(1, FlowToken(77), 101, 500, 80), At(0));

  CHECK(IsDrop(decision));
  CHECK(decision.m_reason == Reason::kUnknownToken);
}

// The packets were dropped from the registration of the second server on, so
// the flow hung.
TEST_CASE(
    "an open flow continues when a server with the same token registers, and "
    "the second server gets flows by its other token") {
  // The first tokens of both names are 0xf8ef788b.
  const ServerName first("i-870588c9");
  const ServerName second("i-47102e0a");
  REQUIRE(TokensOf(first)[0] == TokensOf(second)[0]);
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer(first.value()), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  REQUIRE(token == TokensOf(first)[0]);
  steering.directory().Apply(MakeServer(second.value()), At(10));

  const Decision forwarded =
      steering.Handle(MakeData(1, token, 101, 500, 80), At(20));
  REQUIRE(ServerOf(forwarded) != nullptr);
  CHECK(ServerOf(forwarded)->m_record.m_name == first);
  // A flow that this balancer does not know: no guess and no reset.
  CHECK(IsDrop(steering.Handle(MakeData(2, token, 101, 500, 80), At(20))));

  steering.directory().Remove(first, At(30));
  const Decision opening = steering.Handle(MakeOpening(3), At(40));
  REQUIRE(ServerOf(opening) != nullptr);
  CHECK(ServerOf(opening)->m_record.m_name == second);
  CHECK(TokenOf(opening) == TokensOf(second)[1]);
}

TEST_CASE(
    "an opening without a route is refused only if the routes are "
    "current") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  CHECK(IsReset(steering.Handle(MakeOpening(1, 999), At(0))));

  steering.SetRoutesCurrent(false);
  const Decision unsure = steering.Handle(MakeOpening(1, 999), At(0));
  CHECK(IsDrop(unsure));
  CHECK(unsure.m_reason == Reason::kRouteNotYetKnown);
}

TEST_CASE("a flow whose route is not known yet is forwarded, not reset") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);

  const Decision decision =
      steering.Handle(MakeData(2, token, 101, 500, 80, 999), At(10));

  CHECK(ServerOf(decision) != nullptr);
}

TEST_CASE("a new request on a dropped route is reset until the route is back") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  Manifest dropping = MakeManifest(2);
  std::erase_if(dropping.m_routes, [](const Route& route) {
    return route.m_address.m_port == kFeedPort;
  });
  steering.ApplyManifest(dropping);
  const CallerPacket request = MakeData(1, token, 101, 500, 80);

  const Decision decision = steering.Handle(request, At(10));
  CHECK(IsReset(decision));
  CHECK(decision.m_reason == Reason::kNoRoute);

  steering.ApplyManifest(MakeManifest(3));
  CHECK(ServerOf(steering.Handle(request, At(20))) != nullptr);
  Manifest empty;
  empty.m_version = base::ConfigurationVersion(4);
  steering.ApplyManifest(empty);
  CHECK(IsReset(steering.Handle(request, At(30))));
}

TEST_CASE("a draining server keeps its flows and gets no opening") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1", 1), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  ServerRecord draining = MakeServer("i-1", 2);
  draining.m_state = ServerState::kDraining;
  steering.directory().Apply(draining, At(10));

  CHECK(ServerOf(steering.Handle(MakeData(1, token, 101, 500, 80), At(20))) !=
        nullptr);
  const Decision opening = steering.Handle(MakeOpening(2), At(20));
  CHECK(IsReset(opening));
  CHECK(opening.m_reason == Reason::kNoServer);
}

TEST_CASE(
    "a retransmitted opening goes to another server, as the first did not "
    "answer") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  steering.directory().Apply(MakeServer("i-2"), At(0));
  const Decision first = steering.Handle(MakeOpening(1), At(0));

  const Decision retransmission = steering.Handle(MakeOpening(1), At(200));

  CHECK(ServerOf(retransmission) != ServerOf(first));
  CHECK(retransmission.m_reason == Reason::kPlacedElsewhere);
}

TEST_CASE("an opening without an answer is resent to another server when due") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  steering.directory().Apply(MakeServer("i-2"), At(0));
  const Decision first = steering.Handle(MakeOpening(1), At(0));

  CHECK(steering.PopDueResends(At(39)).empty());
  const auto resends = steering.PopDueResends(At(40));

  REQUIRE(resends.size() == 1);
  CHECK(ServerOf(resends[0].m_decision) != ServerOf(first));
  CHECK_FALSE(steering.StartDueProbes(At(40)).empty());
}

TEST_CASE("an opening whose answer the caller acknowledged is not resent") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  steering.directory().Apply(MakeServer("i-2"), At(0));
  OpenFlow(steering, 1, 0);

  CHECK(steering.PopDueResends(At(500)).empty());
  CHECK(steering.StartDueProbes(At(500)).empty());
}

TEST_CASE(
    "callers of an unreachable server are reset once probes fail, not before") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  steering.Handle(MakeData(1, token, 101, 500, 80), At(100));

  CHECK(ServerOf(steering.Handle(MakeData(1, token, 101, 500, 80), At(300))) !=
        nullptr);
  CHECK(steering.StartDueProbes(At(300)).size() == 1);
  FailProbes(steering, "i-1", 400);
  const Decision repeated =
      steering.Handle(MakeData(1, token, 101, 500, 80), At(700));

  REQUIRE(IsReset(repeated));
  CHECK(repeated.m_reason == Reason::kServerUnreachable);
  CHECK(std::get<Reset>(repeated.m_action).m_sequence == 500);
}

TEST_CASE(
    "a non-idempotent request to an unreachable server is forwarded, as the "
    "server may become reachable again") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0, kDeclarationPort);
  FailProbes(steering, "i-1", 10);

  const Decision decision = steering.Handle(
      MakeData(1, token, 101, 500, 80, kDeclarationPort), At(20));

  CHECK(ServerOf(decision) != nullptr);
}

TEST_CASE(
    "a busy server whose callers retransmit is not probed while it answers "
    "others") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  const FlowToken other = OpenFlow(steering, 2, 0);
  steering.Handle(MakeData(1, token, 101, 500, 80), At(100));
  steering.Handle(MakeData(2, other, 101, 500, 80), At(100));
  // The other flow gets its answer while the first request is queued.
  steering.Handle(MakeData(2, other, 181, 900, 0), At(250));

  steering.Handle(MakeData(1, token, 101, 500, 80), At(300));

  CHECK(steering.StartDueProbes(At(300)).empty());
}

TEST_CASE("flows of a server that drained and left are reset at once") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1", 1), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  ServerRecord draining = MakeServer("i-1", 2);
  draining.m_state = ServerState::kDraining;
  steering.directory().Apply(draining, At(10));
  steering.directory().Remove(ServerName("i-1"), At(5000));

  const Decision decision =
      steering.Handle(MakeData(1, token, 101, 500, 80), At(5010));

  REQUIRE(IsReset(decision));
  CHECK(decision.m_reason == Reason::kServerGone);
}

// The balancer took a server that had returned under its name for gone, and
// reset a flow that another balancer had placed on it.
TEST_CASE("a flow that may be newer than the view is not reset") {
  SteeringWithRoutes steering;
  ServerRecord draining = MakeServer("i-1", 2);
  draining.m_state = ServerState::kDraining;
  steering.directory().Apply(draining, At(0));
  steering.directory().Remove(ServerName("i-1"), At(5000));
  steering.SetViewCurrentAsOf(At(5100));
  const FlowToken token = TokensOf(ServerName("i-1"))[0];
  const CallerPacket request = MakeData(1, token, 101, 500, 80);

  const Decision decision = steering.Handle(request, At(5200));
  CHECK(ServerOf(decision) != nullptr);
  CHECK(decision.m_reason == Reason::kDenialNotConfirmed);

  // The view is confirmed after the flow was seen first, and still denies it.
  steering.SetViewCurrentAsOf(At(5300));
  CHECK(IsReset(steering.Handle(request, At(5400))));
}

TEST_CASE("a flow whose route may be back is not reset") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  Manifest empty;
  empty.m_version = base::ConfigurationVersion(2);
  steering.ApplyManifest(empty);
  steering.SetViewCurrentAsOf(At(90));
  const FlowToken token = TokensOf(ServerName("i-1"))[0];
  const CallerPacket request = MakeData(1, token, 101, 500, 80);

  const Decision decision = steering.Handle(request, At(100));
  CHECK(ServerOf(decision) != nullptr);
  CHECK(decision.m_reason == Reason::kDenialNotConfirmed);

  steering.SetViewCurrentAsOf(At(110));
  CHECK(IsReset(steering.Handle(request, At(300))));
}

TEST_CASE("flows of a server whose record expired continue while it answers") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  steering.directory().Remove(ServerName("i-1"), At(100));

  // The server may still register again at this time.
  CHECK(ServerOf(steering.Handle(MakeData(1, token, 101, 500, 80), At(1000))) !=
        nullptr);
  // The server answered after its record was gone, so it still runs.
  steering.Handle(MakeData(1, token, 181, 900, 0), At(1060));
  CHECK(ServerOf(steering.Handle(MakeData(1, token, 181, 900, 80), At(9000))) !=
        nullptr);
}

TEST_CASE(
    "flows of a silent server are reset some time after its record expired") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  steering.directory().Remove(ServerName("i-1"), At(100));

  CHECK(IsReset(steering.Handle(MakeData(1, token, 101, 500, 80), At(2700))));
}

TEST_CASE(
    "flows of a removed route are reset at the next request, not during an "
    "answer") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  Manifest without = MakeManifest(2);
  without.m_routes.clear();
  REQUIRE(steering.ApplyManifest(without));

  CHECK(ServerOf(steering.Handle(MakeData(1, token, 181, 700, 0), At(50))) !=
        nullptr);
  CHECK(IsReset(steering.Handle(MakeData(1, token, 181, 900, 80), At(90))));
}

TEST_CASE("an opening is dropped before routes are known") {
  Steering steering(SteeringSettings(), 1, At(0));
  steering.directory().Apply(MakeServer("i-1"), At(0));

  CHECK_FALSE(steering.IsReady());
  CHECK(IsDrop(steering.Handle(MakeOpening(1), At(0))));
}

TEST_CASE(
    "when all records of a service expire at once, its servers get openings "
    "until they have had time to register again") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  steering.directory().Apply(MakeServer("i-2"), At(0));
  steering.directory().Remove(ServerName("i-1"), At(100));
  steering.directory().Remove(ServerName("i-2"), At(100));

  CHECK(ServerOf(steering.Handle(MakeOpening(1), At(2000))) != nullptr);
  CHECK(IsReset(steering.Handle(MakeOpening(2), At(2700))));
}

TEST_CASE("an opening for a service without servers is refused at once") {
  SteeringWithRoutes steering;

  CHECK(steering.HasRoutesAndServers());
  CHECK_FALSE(steering.IsReady());
  CHECK(IsReset(steering.Handle(MakeOpening(1), At(0))));
}

TEST_CASE(
    "probes stay within their budget, and every suspected server is probed") {
  SteeringWithRoutes steering;
  constexpr std::size_t kServers = 200;
  for (std::size_t i = 0; i < kServers; ++i) {
    const std::string name = "i-" + std::to_string(i);
    steering.directory().Apply(MakeServer(name), At(0));
  }
  // Each server gets an opening that it does not answer.
  for (std::uint16_t port = 0; port < 4 * kServers; ++port)
    steering.Handle(MakeOpening(port), At(0));
  steering.PopDueResends(At(40));

  std::set<const KnownServer*> probed;
  for (int at = 40; at < 6040; at += 100) {
    const auto due = steering.StartDueProbes(At(at));
    CHECK(due.size() <= 50);
    for (const KnownServer* server : due) {
      probed.insert(server);
      steering.RecordProbeResult(server->m_handle, ProbeResult::kSilent,
                                 At(at + 80));
    }
  }

  CHECK(probed.size() == kServers);
}

TEST_CASE("an opening for which no server can be reached is refused at once") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  FailProbes(steering, "i-1", 0);

  CHECK(IsReset(steering.Handle(MakeOpening(1), At(10))));
  CHECK_FALSE(steering.HasReachableServer());
}

TEST_CASE(
    "an unreachable server stays unreachable when a flow arrives from another "
    "balancer") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = TokensOf(ServerName("i-1"))[0];
  FailProbes(steering, "i-1", 0);

  CHECK(IsReset(steering.Handle(MakeData(7, token, 101, 500, 80), At(10))));
}

TEST_CASE(
    "a server that registers again gets openings and is probed when "
    "suspected") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1", 1), At(0));
  const FlowToken token = OpenFlow(steering, 1, 0);
  steering.Handle(MakeData(1, token, 101, 500, 80), At(100));
  steering.Handle(MakeData(1, token, 101, 500, 80), At(300));
  FailProbes(steering, "i-1", 300);
  steering.directory().Remove(ServerName("i-1"), At(400));
  steering.StartDueProbes(At(1000));
  steering.directory().Apply(MakeServer("i-1", 2), At(1100));

  OpenFlow(steering, 2, 1200);
  steering.Handle(MakeData(2, token, 101, 500, 80), At(1300));
  steering.Handle(MakeData(2, token, 101, 500, 80), At(1500));

  CHECK(steering.StartDueProbes(At(1500)).size() == 1);
}

TEST_CASE(
    "a failed probe that started before the server registered again leads to "
    "another probe") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1", 1), At(0));
  const ServerHandle handle =
      steering.directory().FindByName(ServerName("i-1"))->m_handle;

  steering.RecordProbeResult(handle, ProbeResult::kSilent, At(100));

  CHECK(steering.StartDueProbes(At(100)).size() == 1);
}

TEST_CASE("reordered packets of a request do not count as retransmissions") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-1"), At(0));
  const FlowToken token = TokenOf(steering.Handle(MakeOpening(1), At(0)));
  steering.Handle(MakeData(1, token, 1201, 500, 300), At(4));

  const Decision reordered =
      steering.Handle(MakeData(1, token, 1, 500, 1200), At(5));
  const Decision repeated =
      steering.Handle(MakeData(1, token, 1, 500, 1200), At(204));

  CHECK(reordered.m_packet_kind == PacketKind::kNothingNew);
  CHECK(repeated.m_packet_kind == PacketKind::kRetransmission);
}

}  // namespace steering
