#include "LibFlow/service_routing.h"

#include <algorithm>
#include <utility>

#include "LibBase/hash.h"

namespace flow {

namespace {

struct WeightedServer {
  std::uint64_t m_weight;
  const RoutedServer* m_server;
};

}  // namespace

ServiceRouting::ServiceRouting(base::ServiceId id,
                               std::vector<RoutedServer> servers)
    : m_id(id), m_servers(std::move(servers)) {
  m_hashes.reserve(m_servers.size());
  for (const RoutedServer& server : m_servers)
    m_hashes.push_back(base::MixBits(server.m_id.value()));
}

ServerOrder ServiceRouting::OrderFor(std::uint64_t flow_hash) const {
  boost::container::static_vector<WeightedServer, kMaximumOrder> weighted;
  const auto is_heavier = [](const WeightedServer& left,
                             const WeightedServer& right) {
    return left.m_weight > right.m_weight;
  };
  for (std::size_t index = 0; index < m_servers.size(); ++index) {
    const WeightedServer entry{
        base::CombineMixedHash(flow_hash, m_hashes[index]), &m_servers[index]};
    if (weighted.size() < kMaximumOrder) {
      weighted.push_back(entry);
      continue;
    }
    const auto lightest =
        std::min_element(weighted.begin(), weighted.end(),
                         [](const auto& left, const auto& right) {
                           return left.m_weight < right.m_weight;
                         });
    if (is_heavier(entry, *lightest))
      *lightest = entry;
  }
  std::sort(weighted.begin(), weighted.end(), is_heavier);

  ServerOrder order;
  for (const WeightedServer& entry : weighted)
    order.push_back(entry.m_server);
  return order;
}

const RoutedServer* ServiceRouting::PreferredServer(
    std::uint64_t flow_hash) const {
  if (m_servers.empty())
    return nullptr;
  std::size_t best = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t index = 0; index < m_hashes.size(); ++index) {
    const std::uint64_t weight =
        base::CombineMixedHash(flow_hash, m_hashes[index]);
    if (weight > best_weight) {
      best = index;
      best_weight = weight;
    }
  }
  const RoutedServer& server = m_servers[best];
  return server.m_state == RoutedServerState::kActive ? &server : nullptr;
}

const RoutedServer* ServiceRouting::FindServer(base::BackendServerId id) const {
  // MixBits is one to one, so equal hashes have equal ids.
  const auto found = std::ranges::find(m_hashes, base::MixBits(id.value()));
  if (found == m_hashes.end())
    return nullptr;
  return &m_servers[static_cast<std::size_t>(found - m_hashes.begin())];
}

}  // namespace flow
