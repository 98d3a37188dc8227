// Drives TrafficCore without sockets, threads or clocks: two servers, one
// caller, a load report and a server that drains. docs/EMBEDDING.md explains
// the steps. Prints the operations that the owner of the core has to execute
// for each packet.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <fmt/core.h>

#include "LibBalancer/traffic_core.h"
#include "LibBase/hash.h"
#include "LibBase/overloaded.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/routing_table.h"

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 1;
constexpr base::Duration kHold = 3s;
constexpr base::Duration kLease = 2s;
constexpr base::Duration kAdvancePeriod = 100ms;
constexpr std::uint32_t kSlots = 4;
constexpr std::uint16_t kTunnelPort = 5555;
constexpr base::Endpoint kService{base::Ipv4Address(0xc0000201), 443};
constexpr base::Endpoint kCaller{base::Ipv4Address(0xc6336401), 40000};
constexpr base::Endpoint kTraffic{base::Ipv4Address(0xc0000202), kTunnelPort};

struct Server {
  base::BackendServerId m_id;
  base::Ipv4Address m_address;
  bool m_is_draining = false;
};

// Step 1: the routing table and the service profiles derive from one document.
void SetConfiguration(balancer::TrafficCore& core,
                      base::ConfigurationVersion version,
                      const std::vector<Server>& servers,
                      std::shared_ptr<const flow::RoutingTable>& routing,
                      base::TimePoint now) {
  flow::ServiceDefinition definition{base::MakeServiceId("portal"), kService};
  balancer::ServiceProfile profile;
  profile.m_id = definition.m_id;
  profile.m_placement = placement::MakePlacementSettings(
      placement::PlacementPreset::kFewExceptions);
  for (const Server& server : servers) {
    const auto state = server.m_is_draining ? flow::RoutedServerState::kDraining
                                            : flow::RoutedServerState::kActive;
    definition.m_servers.push_back(
        {server.m_id, {server.m_address, kTunnelPort}, state});
    profile.m_servers.push_back({server.m_id, kSlots, 0, server.m_is_draining});
  }
  routing = flow::RoutingTable::Build(version, {&definition, 1}, routing.get(),
                                      now, kHold);
  core.SetConfiguration(routing, {&profile, 1}, now);
  core.SetLease(now + kLease);
}

std::string Describe(const flow::Effect& effect) {
  return std::visit(
      base::Overloaded{
          [](const flow::ForwardToServer& forward) {
            return fmt::format("forward to server {:#x}",
                               forward.m_tunnel.m_address.value());
          },
          [](const flow::ResendPacket& resend) {
            return fmt::format("resend to server {:#x}",
                               resend.m_tunnel.m_address.value());
          },
          [](const flow::RelayToBalancer& relay) {
            return fmt::format("relay to balancer {:#x}",
                               relay.m_balancer.m_address.value());
          },
          [](const flow::DeliverToCaller&) -> std::string {
            return "deliver to the caller";
          },
          [](const flow::RefuseOpening&) -> std::string {
            return "refuse the opening";
          },
          [](const flow::Drop& drop) {
            return fmt::format("drop: {}", base::NameOf(flow::kDropReasonNames,
                                                        drop.m_reason));
          },
          // TrafficCore has already applied the flow events.
          [](const flow::FlowEvent&) -> std::string { return "note"; }},
      effect);
}

void Print(std::string_view packet, const flow::Effects& effects) {
  for (const flow::Effect& effect : effects)
    fmt::print("{}: {}\n", packet, Describe(effect));
}

// Returns the server to which the effects forward the packet; zero if none.
base::Ipv4Address ServerOf(const flow::Effects& effects) {
  for (const flow::Effect& effect : effects) {
    if (const auto* forward = std::get_if<flow::ForwardToServer>(&effect))
      return forward->m_tunnel.m_address;
  }
  return {};
}

}  // namespace

int main() {
  base::TimePoint now{1h};
  balancer::TrafficCore core(flow::FlowSettings{}, kSeed, now);
  const base::BalancerId self(1);
  core.SetBalancers(std::make_shared<flow::BalancerSet>(
      self, std::vector<flow::Balancer>{{self, kTraffic}}));

  std::vector<Server> servers;
  for (std::uint32_t number = 1; number <= 2; ++number)
    servers.push_back(
        {base::MakeBackendServerId("portal", std::to_string(number), 1),
         base::Ipv4Address(0x0a000000 + number)});
  std::shared_ptr<const flow::RoutingTable> routing;
  SetConfiguration(core, base::ConfigurationVersion(1), servers, routing, now);

  // Step 2: the core handles packets and returns effects.
  const flow::FlowKey key{kCaller, kService};
  const std::vector<std::uint8_t> opening(40);
  const auto opened = core.HandleCallerPacket(
      {key, flow::CallerPacketKind::kOpening, 1000, {}, opening}, now);
  Print("opening", opened);
  const base::Ipv4Address chosen = ServerOf(opened);
  Print("acceptance",
        core.HandleServerPacket(
            {key, flow::ServerPacketKind::kAccepted, 1001, chosen}, now));

  // Step 3: the core applies a server's load report and advances its time.
  core.ApplyLoad(
      base::MakeServiceId("portal"),
      placement::LoadReported{servers.front().m_id, 1, 0, kSlots, 1, 0, 5ms},
      now);
  now += kAdvancePeriod;
  core.Advance(now);

  // Step 4: the chosen server drains and keeps its flow.
  for (Server& server : servers)
    server.m_is_draining = server.m_address == chosen;
  SetConfiguration(core, base::ConfigurationVersion(2), servers, routing, now);
  const auto data = core.HandleCallerPacket(
      {key, flow::CallerPacketKind::kData, 1001, {}, {}}, now);
  Print("data after draining", data);
  const flow::FlowKey other{{kCaller.m_address, 40001}, kService};
  const auto second = core.HandleCallerPacket(
      {other, flow::CallerPacketKind::kOpening, 5000, {}, opening}, now);
  Print("another opening", second);

  // Step 5: without a renewed lease the core forwards no packets.
  now += kLease;
  const auto late = core.HandleCallerPacket(
      {key, flow::CallerPacketKind::kData, 1002, {}, {}}, now);
  Print("data after the lease", late);

  const bool is_as_documented = ServerOf(data) == chosen &&
                                ServerOf(second) != chosen &&
                                ServerOf(late) == base::Ipv4Address();
  return is_as_documented ? 0 : 1;
}
