#include "LibFlow/flow_simulation.h"

#include <algorithm>
#include <chrono>

#include "LibBase/hash.h"
#include "LibBase/overloaded.h"

namespace flow {

namespace {

constexpr base::Duration kHold = std::chrono::seconds(3);
constexpr base::Duration kRetransmission = std::chrono::milliseconds(250);
constexpr int kMaximumDepth = 12;
constexpr std::uint16_t kServicePort = 443;
constexpr std::uint16_t kTunnelPort = 5555;

std::uint32_t PositionOf(const FlowKey& key) {
  return static_cast<std::uint32_t>(base::MixBits(HashFlow(key)));
}

}  // namespace

struct FlowSimulation::Node {
  std::uint64_t m_id;
  base::Endpoint m_traffic;
  std::shared_ptr<const RoutingTable> m_routing;
  std::unique_ptr<FlowDirector> m_director;
};

struct FlowSimulation::Reply {
  ServerPacketKind m_kind;
};

FlowSimulation::FlowSimulation(Options options)
    : m_options(options), m_random(options.m_seed) {}

FlowSimulation::~FlowSimulation() = default;

base::Endpoint FlowSimulation::ServiceAddress(std::uint8_t service) {
  return {base::Ipv4Address(0x7f300000u + service), kServicePort};
}

base::Ipv4Address FlowSimulation::ServerAddress(std::uint8_t server) {
  return base::Ipv4Address(0x7f100000u + server);
}

std::size_t FlowSimulation::LearnedFlowCount() const {
  std::size_t count = 0;
  for (const auto& [id, node] : m_balancers)
    count += node->m_director->flow_count();
  return count;
}

std::uint64_t FlowSimulation::AddBalancer() {
  const std::uint64_t id = base::MixBits(m_next_balancer++);
  auto node = std::make_unique<Node>();
  node->m_id = id;
  node->m_traffic = {base::Ipv4Address(0x7f000100u + static_cast<std::uint32_t>(
                                                         m_next_balancer)),
                     kTunnelPort};
  const auto chooser = [this](const ServiceRouting&, const ServerOrder& order,
                              OpeningProgress) {
    const std::size_t count = std::min(m_options.m_candidates, order.size());
    return *std::min_element(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
        [this](const RoutedServer* left, const RoutedServer* right) {
          return m_connections[left->m_tunnel.m_address].size() <
                 m_connections[right->m_tunnel.m_address].size();
        });
  };
  node->m_director =
      std::make_unique<FlowDirector>(m_options.m_settings, chooser, m_now);
  m_balancers.emplace(id, std::move(node));
  PublishTo(id);
  RefreshBalancerSets();
  return id;
}

void FlowSimulation::KillBalancer(std::uint64_t id) {
  m_balancers.erase(id);
  RefreshBalancerSets();
}

void FlowSimulation::RefreshBalancerSets() {
  std::vector<Balancer> balancers;
  for (const auto& [id, node] : m_balancers)
    balancers.push_back({base::BalancerId(id), node->m_traffic});
  for (const auto& [id, node] : m_balancers) {
    m_balancer_set =
        m_balancer_set == nullptr
            ? std::make_shared<BalancerSet>(base::BalancerId(id), balancers)
            : std::make_shared<BalancerSet>(base::BalancerId(id), balancers,
                                            *m_balancer_set);
    node->m_director->SetBalancers(m_balancer_set);
  }
}

void FlowSimulation::SetServers(std::uint8_t service,
                                const std::vector<std::uint8_t>& active,
                                const std::vector<std::uint8_t>& draining) {
  std::vector<RoutedServer> servers;
  const auto add = [&](std::uint8_t server, RoutedServerState state) {
    const base::Ipv4Address address = ServerAddress(server);
    const auto id = base::MakeBackendServerId(std::to_string(service),
                                              std::to_string(server), 1);
    servers.push_back({id, {address, kTunnelPort}, state});
    const auto owner = m_owners.find(address);
    if (owner != m_owners.end() && owner->second != service)
      m_connections[address].clear();
    m_owners[address] = service;
  };
  for (const std::uint8_t server : active)
    add(server, RoutedServerState::kActive);
  for (const std::uint8_t server : draining)
    add(server, RoutedServerState::kDraining);
  m_services[service] = servers;
  m_version = base::ConfigurationVersion(m_version.value() + 1);
}

void FlowSimulation::PublishTo(std::uint64_t balancer) {
  Node& node = *m_balancers.at(balancer);
  std::vector<ServiceDefinition> services;
  for (const auto& [service, servers] : m_services)
    services.push_back({base::MakeServiceId(std::to_string(service)),
                        ServiceAddress(service), servers});
  node.m_routing = RoutingTable::Build(m_version, services,
                                       node.m_routing.get(), m_now, kHold);
  node.m_director->SetRouting(node.m_routing);
  node.m_director->SetLease(base::TimePoint::max());
}

void FlowSimulation::PublishToAll() {
  for (const auto& [id, node] : m_balancers)
    PublishTo(id);
}

FlowSimulation::Node& FlowSimulation::PickBalancer() {
  auto chosen = m_balancers.begin();
  std::advance(chosen, m_random.Below(m_balancers.size()));
  return *chosen->second;
}

FlowSimulation::Node* FlowSimulation::FindByTraffic(base::Endpoint traffic) {
  for (const auto& [id, node] : m_balancers) {
    if (node->m_traffic == traffic)
      return node.get();
  }
  return nullptr;
}

std::optional<FlowKey> FlowSimulation::Open(std::uint8_t service) {
  if (++m_next_port == 0) {
    m_next_port = 1024;
    ++m_next_address;
  }
  const FlowKey key{
      {base::Ipv4Address(0x7f200000u + m_next_address), m_next_port},
      ServiceAddress(service)};
  const std::vector<std::uint8_t> bytes(40);
  const CallerPacket opening{
      key, CallerPacketKind::kOpening, PositionOf(key), {}, bytes};
  const auto reply = SendFromCaller(opening);
  if (!reply || reply->m_kind != ServerPacketKind::kAccepted) {
    ++m_counts.m_refused;
    return std::nullopt;
  }
  ++m_counts.m_opened;
  return key;
}

bool FlowSimulation::Exchange(const FlowKey& key, int attempts) {
  // A home stores the packet of a probe and resends it, unless it is empty.
  const std::vector<std::uint8_t> bytes(40);
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto reply = SendFromCaller(
        {key, CallerPacketKind::kData, PositionOf(key) + 1, {}, bytes});
    if (reply && reply->m_kind == ServerPacketKind::kData) {
      ++m_counts.m_answered;
      return true;
    }
    if (reply) {
      ++m_counts.m_broken;
      return false;
    }
    m_now += kRetransmission;
  }
  ++m_counts.m_lost;
  return false;
}

void FlowSimulation::Close(const FlowKey& key) {
  SendFromCaller(
      {key, CallerPacketKind::kClosing, PositionOf(key) + 1, {}, {}});
  for (auto& [server, connections] : m_connections)
    connections.erase(key);
}

void FlowSimulation::Advance(base::Duration duration) {
  m_now += duration;
  for (const auto& [id, node] : m_balancers)
    node->m_director->Expire(m_now);
}

std::optional<FlowSimulation::Reply> FlowSimulation::SendFromCaller(
    const CallerPacket& packet) {
  return Run(PickBalancer(), packet, 0);
}

std::optional<FlowSimulation::Reply>
FlowSimulation::Run(Node& node, const CallerPacket& packet, int depth) {
  return Apply(node, packet, node.m_director->HandleCallerPacket(packet, m_now),
               depth);
}

std::optional<FlowSimulation::Reply>
FlowSimulation::Run(Node& node, const ServerPacket& packet, int depth) {
  return Apply(node, packet, node.m_director->HandleServerPacket(packet, m_now),
               depth);
}

template <typename Packet>
std::optional<FlowSimulation::Reply> FlowSimulation::Apply(
    Node& node,
    const Packet& packet,
    const Effects& effects,
    int depth) {
  constexpr bool kIsFromCaller = std::is_same_v<Packet, CallerPacket>;
  if (depth > kMaximumDepth)
    return std::nullopt;
  std::optional<Reply> reply;
  const base::Overloaded visitor{
      [&](const ForwardToServer& forward) {
        if constexpr (kIsFromCaller)
          reply = DeliverToServer(forward.m_tunnel, packet, depth);
      },
      [&](const ResendPacket& resend) {
        // The copy is needed because the director is called again before the
        // packet is delivered.
        const std::vector<std::uint8_t> bytes(resend.m_bytes.begin(),
                                              resend.m_bytes.end());
        CallerPacket resent{packet.m_key,
                            CallerPacketKind::kOpening,
                            packet.m_position,
                            {},
                            bytes};
        if constexpr (!kIsFromCaller) {
          // A denied probe resends the packet that the denial answers.
          if (packet.m_kind == ServerPacketKind::kNoSuchFlow) {
            resent.m_kind = CallerPacketKind::kData;
            resent.m_position = PositionOf(packet.m_key) + 1;
            resent.m_acknowledged = packet.m_position;
          }
        }
        reply = DeliverToServer(resend.m_tunnel, resent, depth);
      },
      [&](const RelayToBalancer& relay) {
        ++m_counts.m_relays;
        Node* target = FindByTraffic(relay.m_balancer);
        if (target == nullptr)
          return;
        Packet relayed = packet;
        relayed.m_relay = relay.m_relay;
        reply = Run(*target, relayed, depth + 1);
      },
      [&](const DeliverToCaller&) {
        if constexpr (!kIsFromCaller)
          reply = Reply{packet.m_kind};
      },
      [&](const RefuseOpening&) { reply = Reply{ServerPacketKind::kRefused}; },
      [](const Drop&) {},
      [](const FlowEvent&) {}};
  for (const Effect& effect : effects)
    std::visit(visitor, effect);
  (void)node;
  return reply;
}

std::optional<FlowSimulation::Reply> FlowSimulation::DeliverToServer(
    base::Endpoint tunnel,
    const CallerPacket& packet,
    int depth) {
  const base::Ipv4Address address = tunnel.m_address;
  const auto owner = m_owners.find(address);
  if (owner == m_owners.end())
    return std::nullopt;
  if (ServiceAddress(owner->second) != packet.m_key.m_service) {
    ++m_counts.m_misdelivered;
    return std::nullopt;
  }
  auto& connections = m_connections[address];
  ServerPacketKind kind = ServerPacketKind::kData;
  if (packet.m_kind == CallerPacketKind::kOpening) {
    connections.insert(packet.m_key);
    kind = ServerPacketKind::kAccepted;
  } else if (!connections.contains(packet.m_key)) {
    kind = ServerPacketKind::kNoSuchFlow;
  } else if (packet.m_kind == CallerPacketKind::kClosing) {
    connections.erase(packet.m_key);
    kind = ServerPacketKind::kClosing;
  }
  const std::uint32_t position = kind == ServerPacketKind::kNoSuchFlow
                                     ? packet.m_acknowledged
                                     : packet.m_position + 1;
  const ServerPacket answer{packet.m_key, kind, position, address, {}};
  return Run(PickBalancer(), answer, depth + 1);
}

}  // namespace flow
