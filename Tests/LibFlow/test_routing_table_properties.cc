// Properties of RoutingTable with random sequences of configuration documents.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/hash.h"
#include "LibBase/random.h"
#include "LibFlow/routing_table.h"

using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr base::Duration kHold = seconds(3);
constexpr std::uint64_t kServices = 4;
constexpr std::uint64_t kAddresses = 12;

base::Endpoint AddressOf(std::uint64_t service) {
  return {base::Ipv4Address(200 + static_cast<std::uint32_t>(service)), 443};
}

// A server as the rules of RoutingTable::Build require, one server at a time.
struct Expected {
  std::uint64_t m_service = 0;
  flow::RoutedServer m_server;
};
using Model = std::map<base::Ipv4Address, Expected>;

// The servers of each service by the service's number. An address belongs to at
// most one service.
using Document = std::map<std::uint64_t, std::vector<flow::RoutedServer>>;

Document RandomDocument(const Document& former, base::Random& random) {
  Document document;
  for (const auto& [service, servers] : former) {
    if (random.Below(10) != 0)
      document[service];
  }
  document[random.Below(kServices)];
  std::map<base::Ipv4Address, std::pair<std::uint64_t, flow::RoutedServer>>
      placed;
  for (const auto& [service, servers] : former) {
    for (const flow::RoutedServer& server : servers)
      placed[server.m_tunnel.m_address] = {service, server};
  }
  for (int change = 0; change < 2; ++change) {
    const base::Ipv4Address address(
        static_cast<std::uint32_t>(1 + random.Below(kAddresses)));
    const std::uint64_t service = random.Below(kServices);
    const auto id = base::MakeBackendServerId(std::to_string(service),
                                              std::to_string(address.value()),
                                              random.Below(2));
    const auto state = random.Below(3) == 0 ? flow::RoutedServerState::kDraining
                                            : flow::RoutedServerState::kActive;
    if (random.Below(3) == 0)
      placed.erase(address);
    else
      placed[address] = {service, {id, {address, 5555}, state}};
  }
  for (const auto& [address, server] : placed) {
    if (document.contains(server.first))
      document[server.first].push_back(server.second);
  }
  return document;
}

Model NextModel(const Model& former,
                const Document& document,
                base::TimePoint now) {
  Model model;
  for (const auto& [service, servers] : document) {
    for (flow::RoutedServer server : servers) {
      const auto before = former.find(server.m_tunnel.m_address);
      if (before != former.end())
        server.m_usable_from = before->second.m_server.m_id == server.m_id
                                   ? before->second.m_server.m_usable_from
                                   : now + kHold;
      model[server.m_tunnel.m_address] = {service, server};
    }
  }
  for (const auto& [address, before] : former) {
    if (model.contains(address) || !document.contains(before.m_service))
      continue;
    flow::RoutedServer server = before.m_server;
    if (server.m_state != flow::RoutedServerState::kRetired)
      server.m_retired_at = now;
    server.m_state = flow::RoutedServerState::kRetired;
    if (now - server.m_retired_at < flow::kRetiredRetention)
      model[address] = {before.m_service, server};
  }
  return model;
}

bool Matches(const flow::RoutingTable& table,
             const Model& model,
             const Document& document) {
  std::size_t servers = 0;
  for (const auto& [service, definition] : document) {
    const auto* routing = table.FindService(AddressOf(service));
    if (routing == nullptr)
      return false;
    servers += routing->servers().size();
  }
  if (servers != model.size() || table.service_count() != document.size())
    return false;
  for (std::uint32_t number = 1; number <= kAddresses; ++number) {
    const base::Ipv4Address address(number);
    const flow::AddressOwner* owner = table.FindServerAt(address);
    const auto expected = model.find(address);
    if ((owner == nullptr) != (expected == model.end()))
      return false;
    if (owner == nullptr)
      continue;
    const auto& [service, wanted] = expected->second;
    const auto* server =
        table.FindService(AddressOf(service))->FindServer(wanted.m_id);
    const bool matches = owner->m_server == wanted.m_id && server != nullptr &&
                         owner->m_service == base::ServiceId(service + 1) &&
                         server->m_state == wanted.m_state &&
                         server->m_usable_from == wanted.m_usable_from;
    if (!matches)
      return false;
  }
  return true;
}

std::vector<flow::ServiceDefinition> DefinitionsOf(const Document& document) {
  std::vector<flow::ServiceDefinition> definitions;
  for (const auto& [service, servers] : document)
    definitions.push_back(
        {base::ServiceId(service + 1), AddressOf(service), servers});
  return definitions;
}

}  // namespace

TEST_CASE("tables built from previous tables match a model of the rules") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    base::TimePoint now;
    Document document;
    Model model;
    std::shared_ptr<const flow::RoutingTable> table;
    for (std::uint64_t version = 1; version <= 30; ++version) {
      now += random.Below(3) == 0 ? base::Duration(hours(9))
                                  : base::Duration(seconds(1));
      document = RandomDocument(document, random);
      model = NextModel(model, document, now);

      table = flow::RoutingTable::Build(base::ConfigurationVersion(version),
                                        DefinitionsOf(document), table.get(),
                                        now, kHold);

      RC_ASSERT(Matches(*table, model, document));
    }
  });

  CHECK(holds);
}

TEST_CASE("replaced servers leave the table after a day of retention") {
  constexpr std::uint32_t kPerDay = 100;
  constexpr std::uint32_t kDays = 5;
  base::TimePoint now;
  std::shared_ptr<const flow::RoutingTable> table;

  for (std::uint32_t number = 0; number < kDays * kPerDay; ++number) {
    now += base::Duration(hours(24)) / kPerDay;
    flow::ServiceDefinition service{base::ServiceId(1), AddressOf(0), {}};
    service.m_servers.push_back(
        {base::BackendServerId(number), {base::Ipv4Address(number), 5555}});
    table = flow::RoutingTable::Build(base::ConfigurationVersion(number + 1),
                                      {&service, 1}, table.get(), now, kHold);
  }

  const auto* routing = table->FindService(AddressOf(0));
  CHECK(routing->servers().size() <= kPerDay + 1);
  CHECK(table->FindServerAt(base::Ipv4Address(0)) == nullptr);
  const base::Ipv4Address recent(kDays * kPerDay - kPerDay / 2);
  CHECK(table->FindServerAt(recent) != nullptr);
}

TEST_CASE("an unchanged service is shared with the next table") {
  const flow::RoutedServer server{base::BackendServerId(1),
                                  {base::Ipv4Address(1), 5555}};
  const flow::RoutedServer other{base::BackendServerId(2),
                                 {base::Ipv4Address(2), 5555}};
  const Document before{{0, {server}}, {1, {}}};
  const Document after{{0, {server}}, {1, {other}}};
  const auto first = flow::RoutingTable::Build(base::ConfigurationVersion(1),
                                               DefinitionsOf(before), nullptr,
                                               base::TimePoint(), kHold);

  const auto second = flow::RoutingTable::Build(
      base::ConfigurationVersion(2), DefinitionsOf(after), first.get(),
      base::TimePoint(), kHold);

  CHECK(first->FindService(AddressOf(0)) == second->FindService(AddressOf(0)));
  CHECK(first->FindService(AddressOf(1)) != second->FindService(AddressOf(1)));
}
