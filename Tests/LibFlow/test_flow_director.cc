// One director alone: its decisions about single packets.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>

#include "LibBase/hash.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/flow_director.h"
#include "LibFlow/routing_table.h"

using std::chrono::seconds;

namespace {

const base::Endpoint kService{base::Ipv4Address(200), 443};
const flow::FlowKey kKey{{base::Ipv4Address(7), 4000}, kService};
constexpr std::uint32_t kPosition = 1000;

std::vector<flow::RoutedServer> MakeServers() {
  std::vector<flow::RoutedServer> servers;
  for (std::uint8_t number = 1; number <= 3; ++number)
    servers.push_back(
        {base::MakeBackendServerId("a", std::to_string(number), 1),
         {base::Ipv4Address(number), 5555}});
  return servers;
}

// Makes the director of the only balancer of a data centre.
flow::FlowDirector MakeDirector(base::TimePoint now,
                                flow::FlowDirector::Chooser chooser) {
  flow::FlowDirector director({}, std::move(chooser), now);
  const flow::ServiceDefinition service{base::MakeServiceId("a"), kService,
                                        MakeServers()};
  director.SetRouting(flow::RoutingTable::Build(
      base::ConfigurationVersion(1), {&service, 1}, nullptr, now, seconds(3)));
  director.SetBalancers(std::make_shared<flow::BalancerSet>(
      base::BalancerId(1),
      std::vector<flow::Balancer>{{base::BalancerId(1), {}}}));
  director.SetLease(now + seconds(3600));
  return director;
}

// Makes a director that chooses the first server of the order.
flow::FlowDirector MakeDirector(base::TimePoint now) {
  return MakeDirector(now, [](const auto&, const flow::ServerOrder& order,
                              flow::OpeningProgress) { return order.front(); });
}

// Makes a director that chooses the servers in turn, as placement by load may.
flow::FlowDirector MakeAlternatingDirector(base::TimePoint now) {
  return MakeDirector(
      now, [turn = std::size_t{0}](const auto&, const flow::ServerOrder& order,
                                   flow::OpeningProgress) mutable {
        return order[turn++ % order.size()];
      });
}

template <typename Wanted>
const Wanted* FindEffect(const flow::Effects& effects) {
  for (const flow::Effect& effect : effects) {
    if (const auto* found = std::get_if<Wanted>(&effect))
      return found;
  }
  return nullptr;
}

flow::CallerPacket Opening(const std::vector<std::uint8_t>& bytes) {
  return {kKey, flow::CallerPacketKind::kOpening, kPosition, {}, bytes};
}

// Opens the flow of kKey and lets its server accept. Returns the tunnel
// endpoint of this server.
base::Endpoint OpenAndAccept(flow::FlowDirector& director,
                             base::TimePoint now) {
  const std::vector<std::uint8_t> bytes(60, 7);
  const auto opened = director.HandleCallerPacket(Opening(bytes), now);
  const auto server = FindEffect<flow::ForwardToServer>(opened)->m_tunnel;
  director.HandleServerPacket({.m_key = kKey,
                               .m_kind = flow::ServerPacketKind::kAccepted,
                               .m_position = kPosition + 1,
                               .m_server = server.m_address},
                              now);
  return server;
}

}  // namespace

TEST_CASE("a repeated opening goes to the same server") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(40);

  const auto first = director.HandleCallerPacket(Opening(bytes), now);
  const auto second = director.HandleCallerPacket(Opening(bytes), now);

  const auto* sent = FindEffect<flow::ForwardToServer>(first);
  const auto* repeated = FindEffect<flow::ForwardToServer>(second);
  REQUIRE(sent);
  REQUIRE(repeated);
  CHECK(sent->m_tunnel == repeated->m_tunnel);
  CHECK(FindEffect<flow::FlowEvent>(second) == nullptr);
}

TEST_CASE("a refusal reaches the caller only after every server has refused") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(40);
  const auto effects = director.HandleCallerPacket(Opening(bytes), now);
  auto refusing = FindEffect<flow::ForwardToServer>(effects)->m_tunnel;

  for (int refusal = 1; refusal < 3; ++refusal) {
    const auto retried = director.HandleServerPacket(
        {kKey, flow::ServerPacketKind::kRefused, 0, refusing.m_address, {}},
        now);
    const auto* resent = FindEffect<flow::ResendPacket>(retried);
    REQUIRE(resent);
    CHECK(resent->m_tunnel != refusing);
    CHECK(std::ranges::equal(resent->m_bytes, bytes));
    refusing = resent->m_tunnel;
  }
  const auto last = director.HandleServerPacket(
      {kKey, flow::ServerPacketKind::kRefused, 0, refusing.m_address, {}}, now);

  CHECK(FindEffect<flow::DeliverToCaller>(last));
  CHECK(director.flow_count() == 0);
}

TEST_CASE("a second refusal from a server tried earlier is dropped") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(40);
  const auto effects = director.HandleCallerPacket(Opening(bytes), now);
  const auto refusing = FindEffect<flow::ForwardToServer>(effects)->m_tunnel;
  const flow::ServerPacket refusal{
      kKey, flow::ServerPacketKind::kRefused, 0, refusing.m_address, {}};
  director.HandleServerPacket(refusal, now);

  const auto duplicate = director.HandleServerPacket(refusal, now);

  const auto* drop = FindEffect<flow::Drop>(duplicate);
  REQUIRE(drop);
  CHECK(drop->m_reason == flow::DropReason::kStaleRefusal);
}

TEST_CASE("a caller's abort ends the flow at its home") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(40);
  director.HandleCallerPacket(Opening(bytes), now);

  const auto effects = director.HandleCallerPacket(
      {kKey, flow::CallerPacketKind::kAborted, kPosition + 1, {}, bytes}, now);

  CHECK(FindEffect<flow::ForwardToServer>(effects));
  const auto* event = FindEffect<flow::FlowEvent>(effects);
  REQUIRE(event);
  CHECK(event->m_kind == flow::FlowEventKind::kEnded);
}

TEST_CASE("an opening is dropped after the lease has expired") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  director.SetLease(now + seconds(2));
  const std::vector<std::uint8_t> bytes(40);

  const auto effects =
      director.HandleCallerPacket(Opening(bytes), now + seconds(2));

  const auto* drop = FindEffect<flow::Drop>(effects);
  REQUIRE(drop);
  CHECK(drop->m_reason == flow::DropReason::kLeaseExpired);
}

TEST_CASE("a new flow on a reused port gets no answers of the earlier flow") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(40);
  const auto effects = director.HandleCallerPacket(Opening(bytes), now);
  const auto first = FindEffect<flow::ForwardToServer>(effects)->m_tunnel;
  director.HandleServerPacket({kKey,
                               flow::ServerPacketKind::kAccepted,
                               kPosition + 1,
                               first.m_address,
                               {}},
                              now);
  auto servers = MakeServers();
  for (auto& server : servers) {
    if (server.m_tunnel == first)
      server.m_state = flow::RoutedServerState::kDraining;
  }
  const flow::ServiceDefinition service{base::MakeServiceId("a"), kService,
                                        servers};
  director.SetRouting(flow::RoutingTable::Build(
      base::ConfigurationVersion(2), {&service, 1}, nullptr, now, seconds(3)));

  auto reused = Opening(bytes);
  reused.m_position = kPosition + (1u << 30);
  const auto reopened = director.HandleCallerPacket(reused, now);
  const auto second = FindEffect<flow::ForwardToServer>(reopened)->m_tunnel;
  director.HandleServerPacket({kKey,
                               flow::ServerPacketKind::kAccepted,
                               reused.m_position + 1,
                               second.m_address,
                               {}},
                              now);
  const auto late = director.HandleServerPacket(
      {kKey, flow::ServerPacketKind::kData, kPosition + 9, first.m_address, {}},
      now);

  CHECK(second != first);
  const auto* drop = FindEffect<flow::Drop>(late);
  REQUIRE(drop);
  CHECK(drop->m_reason == flow::DropReason::kCrossedAnswer);
}

TEST_CASE("a probe ignores a late reset of an earlier flow") {
  constexpr std::uint32_t kAcknowledged = 500;
  constexpr std::uint32_t kAcknowledgedEarlier = 100;
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const flow::CallerPacket data{
      kKey, flow::CallerPacketKind::kData, kPosition, {}, {}, kAcknowledged};
  const auto first = director.HandleCallerPacket(data, now);
  const auto candidate = FindEffect<flow::ForwardToServer>(first)->m_tunnel;

  const auto late =
      director.HandleServerPacket({kKey,
                                   flow::ServerPacketKind::kNoSuchFlow,
                                   kAcknowledgedEarlier,
                                   candidate.m_address,
                                   {}},
                                  now);
  const auto second = director.HandleCallerPacket(data, now);

  CHECK(FindEffect<flow::Drop>(late));
  CHECK_FALSE(FindEffect<flow::DeliverToCaller>(late));
  CHECK(FindEffect<flow::ForwardToServer>(second)->m_tunnel == candidate);
}

TEST_CASE("a denied probe resends the same packet to the next candidate") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(60, 7);
  const auto first = director.HandleCallerPacket(
      {kKey, flow::CallerPacketKind::kData, kPosition, {}, bytes}, now);
  auto candidate = FindEffect<flow::ForwardToServer>(first)->m_tunnel;

  for (int denial = 1; denial < 3; ++denial) {
    const auto effects = director.HandleServerPacket(
        {kKey, flow::ServerPacketKind::kNoSuchFlow, 0, candidate.m_address, {}},
        now);
    const auto* resent = FindEffect<flow::ResendPacket>(effects);
    REQUIRE(resent);
    CHECK(resent->m_tunnel != candidate);
    CHECK(std::ranges::equal(resent->m_bytes, bytes));
    CHECK_FALSE(FindEffect<flow::DeliverToCaller>(effects));
    candidate = resent->m_tunnel;
  }
  const auto last = director.HandleServerPacket(
      {kKey, flow::ServerPacketKind::kNoSuchFlow, 0, candidate.m_address, {}},
      now);

  CHECK(FindEffect<flow::DeliverToCaller>(last));
}

TEST_CASE("a denial by a server learned from an earlier flow starts a probe") {
  constexpr std::uint32_t kAcknowledged = 500;
  for (const auto last_kind :
       {flow::ServerPacketKind::kData, flow::ServerPacketKind::kClosing}) {
    const base::TimePoint now;
    auto director = MakeDirector(now);
    const base::Ipv4Address earlier(2);
    // Learns the earlier flow's server at a position that is plausible for the
    // new flow by chance.
    for (const auto kind : {flow::ServerPacketKind::kData, last_kind})
      director.HandleServerPacket({.m_key = kKey,
                                   .m_kind = kind,
                                   .m_position = kPosition,
                                   .m_server = earlier},
                                  now);
    const std::vector<std::uint8_t> bytes(60, 7);
    const flow::CallerPacket data{kKey,          flow::CallerPacketKind::kData,
                                  kPosition + 1, {},
                                  bytes,         kAcknowledged};
    const flow::ServerPacket denial{
        .m_key = kKey,
        .m_kind = flow::ServerPacketKind::kNoSuchFlow,
        .m_position = kAcknowledged,
        .m_server = earlier};
    const auto first = director.HandleCallerPacket(data, now);
    REQUIRE(FindEffect<flow::ForwardToServer>(first)->m_tunnel.m_address ==
            earlier);

    const auto denied = director.HandleServerPacket(denial, now);
    const auto second = director.HandleCallerPacket(data, now);

    CHECK_FALSE(FindEffect<flow::DeliverToCaller>(denied));
    CHECK_FALSE(FindEffect<flow::FlowEvent>(denied));
    REQUIRE(FindEffect<flow::ForwardToServer>(second));
    CHECK(FindEffect<flow::ForwardToServer>(second)->m_tunnel.m_address !=
          earlier);
  }
}

TEST_CASE("a late segment of an earlier flow does not replace the next flow") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  auto director = MakeDirector(now);
  const auto opened = director.HandleCallerPacket(Opening(bytes), now);
  const auto server = FindEffect<flow::ForwardToServer>(opened)->m_tunnel;

  const flow::CallerPacket late{
      kKey, flow::CallerPacketKind::kData, kPosition + (1u << 23), {}, bytes,
      500};
  const auto dropped = director.HandleCallerPacket(late, now);
  const flow::CallerPacket data{
      kKey, flow::CallerPacketKind::kData, kPosition + 1, {}, bytes, 700};
  const auto sent = director.HandleCallerPacket(data, now);
  const auto accepted =
      director.HandleServerPacket({.m_key = kKey,
                                   .m_kind = flow::ServerPacketKind::kAccepted,
                                   .m_position = kPosition + 1,
                                   .m_server = server.m_address},
                                  now);

  REQUIRE(FindEffect<flow::Drop>(dropped));
  CHECK(FindEffect<flow::Drop>(dropped)->m_reason ==
        flow::DropReason::kEarlierFlow);
  CHECK(FindEffect<flow::ForwardToServer>(sent)->m_tunnel == server);
  CHECK(FindEffect<flow::DeliverToCaller>(accepted));
}

TEST_CASE(
    "a late segment that no balancer knows does not replace the next flow") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  for (const auto kind :
       {flow::CallerPacketKind::kData, flow::CallerPacketKind::kAborted}) {
    auto director = MakeDirector(now);
    const auto opened = director.HandleCallerPacket(Opening(bytes), now);
    const auto server = FindEffect<flow::ForwardToServer>(opened)->m_tunnel;

    // The segment was relayed from balancer to balancer while the caller
    // opened the next flow.
    flow::CallerPacket late{kKey, kind, kPosition + (1u << 30), {}, bytes, 500};
    late.m_relay.m_purpose = flow::RelayPurpose::kNotFound;
    const auto dropped = director.HandleCallerPacket(late, now);
    const auto sent = director.HandleCallerPacket(
        {kKey, flow::CallerPacketKind::kData, kPosition + 1, {}, bytes, 700},
        now);

    REQUIRE(FindEffect<flow::Drop>(dropped));
    CHECK(FindEffect<flow::Drop>(dropped)->m_reason ==
          flow::DropReason::kEarlierFlow);
    REQUIRE(FindEffect<flow::ForwardToServer>(sent));
    CHECK(FindEffect<flow::ForwardToServer>(sent)->m_tunnel == server);
  }
}

TEST_CASE(
    "an abort that names the flow's server does not go to a probe's candidate "
    "instead") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  for (const flow::RoutedServer& server : MakeServers()) {
    auto director = MakeDirector(now);
    director.HandleCallerPacket(
        {kKey, flow::CallerPacketKind::kData, kPosition, {}, bytes, 500}, now);

    // The reset of a silent flow has two aborts. The relaying balancer names
    // the server in both.
    for (const std::uint32_t position : {kPosition, kPosition + 60}) {
      const auto sent = director.HandleCallerPacket(
          {kKey,
           flow::CallerPacketKind::kAborted,
           position,
           {flow::RelayPurpose::kClosing, 0, server.m_tunnel.m_address},
           bytes,
           500},
          now);
      REQUIRE(FindEffect<flow::ForwardToServer>(sent));
      CHECK(FindEffect<flow::ForwardToServer>(sent)->m_tunnel ==
            server.m_tunnel);
    }
  }
}

TEST_CASE("an abort during a probe reaches a balancer that knows the server") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  const base::Endpoint other{base::Ipv4Address(50), 6000};
  auto director = MakeDirector(now);
  director.HandleCallerPacket(
      {kKey, flow::CallerPacketKind::kData, kPosition, {}, bytes, 500}, now);
  // The other balancer only leaves, so this one stays the home.
  director.SetBalancers(std::make_shared<flow::BalancerSet>(
      base::BalancerId(1),
      std::vector<flow::Balancer>{
          {base::BalancerId(1), {}},
          {base::BalancerId(2), other, flow::BalancerState::kLeaving}}));
  flow::CallerPacket abort{
      kKey, flow::CallerPacketKind::kAborted, kPosition, {}, bytes, 500};

  for (int copy = 0; copy < 2; ++copy) {
    const auto searched = director.HandleCallerPacket(abort, now);
    REQUIRE(FindEffect<flow::RelayToBalancer>(searched));
    CHECK(FindEffect<flow::RelayToBalancer>(searched)->m_balancer == other);
  }
  abort.m_relay.m_purpose = flow::RelayPurpose::kNotFound;
  CHECK(FindEffect<flow::ForwardToServer>(
      director.HandleCallerPacket(abort, now)));
}

TEST_CASE(
    "a late answer of an earlier flow decides neither opening nor probe") {
  constexpr std::uint32_t kEarlierPosition = kPosition + (1u << 23);
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  const flow::CallerPacket data{
      kKey, flow::CallerPacketKind::kData, kPosition + 1, {}, bytes, 500};
  for (const flow::CallerPacket& packet : {Opening(bytes), data}) {
    auto director = MakeDirector(now);
    const auto first = director.HandleCallerPacket(packet, now);
    const auto server = FindEffect<flow::ForwardToServer>(first)->m_tunnel;
    const base::Ipv4Address earlier(server.m_address.value() == 3 ? 2 : 3);

    director.HandleServerPacket({.m_key = kKey,
                                 .m_kind = flow::ServerPacketKind::kData,
                                 .m_position = kEarlierPosition,
                                 .m_server = earlier},
                                now);

    const auto repeated = director.HandleCallerPacket(packet, now);
    REQUIRE(FindEffect<flow::ForwardToServer>(repeated));
    CHECK(FindEffect<flow::ForwardToServer>(repeated)->m_tunnel == server);
  }
}

TEST_CASE("a late copy of a flow's opening moves the flow to no other server") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  auto director = MakeAlternatingDirector(now);
  const auto server = OpenAndAccept(director, now);
  const flow::CallerPacket request{
      kKey, flow::CallerPacketKind::kData, kPosition + 81, {}, bytes, 700};
  director.HandleCallerPacket(request, now);

  const auto copy = director.HandleCallerPacket(Opening(bytes), now);
  REQUIRE(FindEffect<flow::ForwardToServer>(copy));
  const auto reached = FindEffect<flow::ForwardToServer>(copy)->m_tunnel;
  director.HandleServerPacket({.m_key = kKey,
                               .m_kind = flow::ServerPacketKind::kAccepted,
                               .m_position = kPosition + 1,
                               .m_server = reached.m_address},
                              now);
  const auto answer =
      director.HandleServerPacket({.m_key = kKey,
                                   .m_kind = flow::ServerPacketKind::kData,
                                   .m_position = kPosition + 81,
                                   .m_server = server.m_address,
                                   .m_has_payload = true},
                                  now);

  CHECK(reached == server);
  CHECK(FindEffect<flow::DeliverToCaller>(answer));
}

TEST_CASE(
    "an answer to the caller's data overrides another server's acceptance") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  // A short answer comes in one packet, which also closes.
  for (const auto kind :
       {flow::ServerPacketKind::kData, flow::ServerPacketKind::kClosing}) {
    auto director = MakeDirector(now);
    // Places a copy of the opening. Another balancer, which also took itself
    // for the home, has placed the first copy.
    const auto accepting = OpenAndAccept(director, now);
    const base::Ipv4Address answering(accepting.m_address.value() == 3 ? 2 : 3);
    flow::ServerPacket answer{.m_key = kKey,
                              .m_kind = kind,
                              .m_position = kPosition + 1,
                              .m_server = answering,
                              .m_has_payload = true};
    const auto without_data = director.HandleServerPacket(answer, now);
    answer.m_position = kPosition + 81;
    const auto with_data = director.HandleServerPacket(answer, now);
    const flow::CallerPacket data{
        kKey, flow::CallerPacketKind::kData, kPosition + 81, {}, bytes, 700};
    const auto sent = director.HandleCallerPacket(data, now);

    CHECK(FindEffect<flow::Drop>(without_data));
    CHECK(FindEffect<flow::DeliverToCaller>(with_data));
    // The flow stops being load of the server that only accepted it.
    const auto* event = FindEffect<flow::FlowEvent>(with_data);
    REQUIRE(event);
    CHECK(event->m_kind == flow::FlowEventKind::kEnded);
    CHECK(event->m_server ==
          base::MakeBackendServerId(
              "a", std::to_string(accepting.m_address.value()), 1));
    REQUIRE(FindEffect<flow::ForwardToServer>(sent));
    CHECK(FindEffect<flow::ForwardToServer>(sent)->m_tunnel.m_address ==
          answering);
  }
}

TEST_CASE(
    "an opening at a distant position of an open flow starts a new flow") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(60, 7);
  auto director = MakeAlternatingDirector(now);
  const auto server = OpenAndAccept(director, now);
  flow::CallerPacket next = Opening(bytes);
  next.m_position = kPosition + (1u << 23);

  const auto placed = director.HandleCallerPacket(next, now);

  REQUIRE(FindEffect<flow::ForwardToServer>(placed));
  CHECK(FindEffect<flow::ForwardToServer>(placed)->m_tunnel != server);
}

TEST_CASE(
    "only the first packet of an answer gives the caller's waiting time") {
  const base::TimePoint now;
  const std::vector<std::uint8_t> bytes(40);
  constexpr std::uint32_t kServerStart = 5000;
  for (const std::uint32_t offset : {1u, 1401u}) {
    auto director = MakeDirector(now);
    const auto effects = director.HandleCallerPacket(Opening(bytes), now);
    const auto server = FindEffect<flow::ForwardToServer>(effects)->m_tunnel;
    director.HandleServerPacket({.m_key = kKey,
                                 .m_kind = flow::ServerPacketKind::kAccepted,
                                 .m_server = server.m_address,
                                 .m_server_position = kServerStart},
                                now);

    const auto answered = director.HandleServerPacket(
        {.m_key = kKey,
         .m_kind = flow::ServerPacketKind::kData,
         .m_position = kPosition + 1,
         .m_server = server.m_address,
         .m_has_payload = true,
         .m_server_position = kServerStart + offset},
        now + seconds(2));

    const auto* event = FindEffect<flow::FlowEvent>(answered);
    REQUIRE((event != nullptr) == (offset == 1));
    if (event != nullptr)
      CHECK(event->m_elapsed == seconds(2));
  }
}

TEST_CASE("a reset after the end of a flow does not count the flow as broken") {
  const base::TimePoint now;
  auto director = MakeDirector(now);
  const std::vector<std::uint8_t> bytes(40);
  const auto effects = director.HandleCallerPacket(Opening(bytes), now);
  const auto server =
      FindEffect<flow::ForwardToServer>(effects)->m_tunnel.m_address;
  director.HandleServerPacket({.m_key = kKey,
                               .m_kind = flow::ServerPacketKind::kAccepted,
                               .m_server = server},
                              now);
  director.HandleServerPacket({.m_key = kKey,
                               .m_kind = flow::ServerPacketKind::kAborted,
                               .m_server = server},
                              now);

  const auto late = director.HandleServerPacket(
      {.m_key = kKey,
       .m_kind = flow::ServerPacketKind::kNoSuchFlow,
       .m_server = server},
      now);

  CHECK(FindEffect<flow::FlowEvent>(late) == nullptr);
}
