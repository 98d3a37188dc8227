#include "LibSteering/opening_placer.h"

#include <algorithm>

namespace steering {

namespace {

// Costs that differ by less are equal, since they are computed from whole
// numbers of requests.
constexpr double kEqualCost = 1e-9;

}  // namespace

double OpeningPlacer::CostOf(const KnownServer& server,
                             base::TimePoint now) const {
  const double slots = std::max(1U, server.m_record.m_slots);
  const double load = server.m_requests_in_progress + 1 +
                      m_policy.m_flow_weight * server.m_flows;
  const double factor =
      now < server.m_warm_up_ends_at ? m_policy.m_warm_up_factor : 1.0;
  const double penalty = IsRemote(server) ? m_policy.m_remote_penalty : 0.0;
  const double unanswered =
      m_policy.m_unanswered_cost *
      std::max(server.m_answer_statistics.UnansweredShare(now),
               server.m_shared_evidence.UnansweredShare(now));
  return load * factor / slots + penalty + unanswered;
}

std::optional<Placement> OpeningPlacer::Place(
    std::span<KnownServer* const> servers,
    const KnownServer* excluded,
    base::Random& random,
    base::TimePoint now) const {
  Placement best;
  bool best_is_doubtful = true;
  std::size_t equal_count = 0;
  for (KnownServer* server : servers) {
    if (server == excluded || server->m_reachability.IsUnreachable() ||
        server->m_record.m_state != ServerState::kReady ||
        (server->m_is_evacuated && !m_is_cut_off))
      continue;
    ++best.m_candidates;
    const bool is_doubtful = server->m_reachability.HasFailedProbe() ||
                             (m_is_cut_off && IsRemote(*server));
    const double cost = CostOf(*server, now);
    const bool is_better =
        best.m_server == nullptr || is_doubtful < best_is_doubtful ||
        (is_doubtful == best_is_doubtful && cost < best.m_cost - kEqualCost);
    const bool is_equal = !is_better && is_doubtful == best_is_doubtful &&
                          cost <= best.m_cost + kEqualCost;
    equal_count = is_better ? 1 : equal_count + (is_equal ? 1 : 0);
    // Reservoir sampling: each server of equal cost has the same probability.
    if (is_better || (is_equal && random.Below(equal_count) == 0)) {
      best.m_server = server;
      best.m_cost = cost;
      best_is_doubtful = is_doubtful;
    }
  }
  if (best.m_server == nullptr)
    return std::nullopt;
  return best;
}

}  // namespace steering
