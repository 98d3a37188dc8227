#include <doctest/doctest.h>

#include <chrono>

#include "LibBase/hash.h"
#include "LibFlow/routing_table.h"

using std::chrono::seconds;

namespace {

constexpr base::Duration kHold = seconds(3);

flow::RoutedServer MakeServer(const char* service, std::uint8_t number) {
  return {base::MakeBackendServerId(service, std::to_string(number), 1),
          {base::Ipv4Address(number), 5555}};
}

flow::ServiceDefinition MakeService(const char* name,
                                    std::uint8_t address,
                                    const std::vector<std::uint8_t>& servers) {
  flow::ServiceDefinition service{
      base::MakeServiceId(name), {base::Ipv4Address(address), 443}, {}};
  for (const std::uint8_t number : servers)
    service.m_servers.push_back(MakeServer(name, number));
  return service;
}

}  // namespace

TEST_CASE("a server that left the document stays as retired") {
  const base::TimePoint now;
  const auto before = flow::RoutingTable::Build(
      base::ConfigurationVersion(1), {{MakeService("a", 200, {1, 2})}}, nullptr,
      now, kHold);

  const auto after = flow::RoutingTable::Build(base::ConfigurationVersion(2),
                                               {{MakeService("a", 200, {2})}},
                                               before.get(), now, kHold);

  const auto* service = after->FindService({base::Ipv4Address(200), 443});
  REQUIRE(service != nullptr);
  const auto* server = service->FindServer(MakeServer("a", 1).m_id);
  REQUIRE(server != nullptr);
  CHECK(server->m_state == flow::RoutedServerState::kRetired);
}

TEST_CASE(
    "an address that moves to another service is held and leaves the old one") {
  const base::TimePoint now;
  const auto before = flow::RoutingTable::Build(
      base::ConfigurationVersion(1),
      {{MakeService("a", 200, {1, 2}), MakeService("b", 201, {3})}}, nullptr,
      now, kHold);

  const auto after = flow::RoutingTable::Build(
      base::ConfigurationVersion(2),
      {{MakeService("a", 200, {2}), MakeService("b", 201, {1, 3})}},
      before.get(), now, kHold);
  const auto later = flow::RoutingTable::Build(
      base::ConfigurationVersion(3),
      {{MakeService("a", 200, {2}), MakeService("b", 201, {1, 3})}},
      after.get(), now + seconds(1), kHold);

  const auto* first = after->FindService({base::Ipv4Address(200), 443});
  CHECK(first->FindServer(MakeServer("a", 1).m_id) == nullptr);
  const auto* second = later->FindService({base::Ipv4Address(201), 443});
  CHECK(second->FindServer(MakeServer("b", 1).m_id)->m_usable_from ==
        now + kHold);
  CHECK(second->FindServer(MakeServer("b", 3).m_id)->m_usable_from <= now);
}

TEST_CASE("an added server moves only the flows in whose order it is first") {
  const auto definition = MakeService("a", 200, {1, 2, 3, 4, 5});
  const flow::ServiceRouting before(
      definition.m_id,
      {definition.m_servers.begin(), definition.m_servers.end() - 1});
  const flow::ServiceRouting after(definition.m_id, definition.m_servers);
  const auto added = definition.m_servers.back().m_id;

  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    const auto* choice = after.PreferredServer(hash);
    CHECK((choice->m_id == added ||
           choice->m_id == before.PreferredServer(hash)->m_id));
    CHECK(after.OrderFor(hash)[0]->m_id == choice->m_id);
  }
}
