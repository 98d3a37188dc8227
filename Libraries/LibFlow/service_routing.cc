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

ServerOrder ServiceRouting::OrderFor(std::uint64_t flow_hash) const {
  boost::container::static_vector<WeightedServer, kMaximumOrder> weighted;
  const auto is_heavier = [](const WeightedServer& left,
                             const WeightedServer& right) {
    return left.m_weight > right.m_weight;
  };
  for (const RoutedServer& server : m_servers) {
    const WeightedServer entry{
        base::CombineHashes(flow_hash, server.m_id.value()), &server};
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

const RoutedServer* ServiceRouting::ExplainedServer(
    std::uint64_t flow_hash) const {
  const RoutedServer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const RoutedServer& server : m_servers) {
    const std::uint64_t weight =
        base::CombineHashes(flow_hash, server.m_id.value());
    if (best == nullptr || weight > best_weight) {
      best = &server;
      best_weight = weight;
    }
  }
  const bool is_explained =
      best != nullptr && best->m_state == RoutedServerState::kActive;
  return is_explained ? best : nullptr;
}

const RoutedServer* ServiceRouting::FindServer(base::BackendServerId id) const {
  const auto found = std::find_if(
      m_servers.begin(), m_servers.end(),
      [id](const RoutedServer& server) { return server.m_id == id; });
  return found == m_servers.end() ? nullptr : &*found;
}

}  // namespace flow
