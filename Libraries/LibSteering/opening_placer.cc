#include "LibSteering/opening_placer.h"

#include <algorithm>

namespace steering {

namespace {

// Costs that differ by less are the same: the counts are whole requests.
constexpr double kEqualCost = 1e-9;

}  // namespace

double OpeningPlacer::CostOf(const KnownServer& server,
                             base::TimePoint now) const {
  const double slots = std::max(1U, server.m_record.m_slots);
  const double load = server.m_requests_in_progress + 1 +
                      m_policy.m_flow_weight * server.m_flows;
  const double factor =
      now < server.m_warm_at ? m_policy.m_warm_up_factor : 1.0;
  const double penalty = server.m_record.m_data_centre == m_own
                             ? 0.0
                             : m_policy.m_remote_penalty;
  return load * factor / slots + penalty;
}

std::optional<Placement> OpeningPlacer::Place(
    std::span<KnownServer* const> servers,
    const KnownServer* excluded,
    base::Random& random,
    base::TimePoint now) const {
  Placement best;
  Placement best_suspect;
  std::size_t equals = 0;
  for (KnownServer* server : servers) {
    if (server == excluded || !server->TakesOpenings())
      continue;
    const double cost = CostOf(*server, now);
    if (server->m_sight.IsSuspect()) {
      const bool is_due = server->m_sight.IsProbeDue(now);
      if (best_suspect.m_server == nullptr ||
          (is_due && !best_suspect.m_is_probe) || cost < best_suspect.m_cost)
        best_suspect = {server, 0, cost, is_due};
      continue;
    }
    ++best.m_candidates;
    const bool is_better =
        best.m_server == nullptr || cost < best.m_cost - kEqualCost;
    const bool is_equal = !is_better && cost <= best.m_cost + kEqualCost;
    equals = is_better ? 1 : equals + (is_equal ? 1 : 0);
    // Reservoir sampling: each of the equal ones is as likely.
    if (is_better || (is_equal && random.Below(equals) == 0)) {
      best.m_server = server;
      best.m_cost = cost;
    }
  }
  const bool wants_suspect =
      best_suspect.m_server != nullptr &&
      (best.m_server == nullptr || best_suspect.m_is_probe);
  if (wants_suspect) {
    best_suspect.m_candidates = best.m_candidates + 1;
    return best_suspect;
  }
  if (best.m_server == nullptr)
    return std::nullopt;
  return best;
}

}  // namespace steering
