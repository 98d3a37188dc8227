#include "LibPlacement/placement_policy.h"

#include "LibPlacement/load_view.h"
#include "LibPlacement/server_status.h"

namespace placement {

namespace {

using Choice = std::optional<base::BackendServerId>;

// Which servers a policy may choose.
enum class Eligibility {
  kHealthy,
  kNotDraining,
};

bool IsEligible(const ServerStatus* status, Eligibility eligibility) {
  if (status == nullptr || status->m_is_draining)
    return false;
  return eligibility == Eligibility::kNotDraining ||
         !status->m_is_ejected_or_unhealthy;
}

// Visitor that chooses a server by one policy among the eligible servers of a
// flow's rendezvous order.
class Chooser {
 public:
  Chooser(std::span<const base::BackendServerId> order,
          const LoadView& view,
          Eligibility eligibility,
          base::Random& random)
      : m_order(order),
        m_view(view),
        m_eligibility(eligibility),
        m_random(random) {}

  Choice operator()(FirstHash&) const {
    for (const base::BackendServerId server : m_order) {
      if (FindEligible(server) != nullptr)
        return server;
    }
    return std::nullopt;
  }

  Choice operator()(RoundRobin& policy) const {
    const auto servers = m_view.Servers();
    for (std::size_t step = 0; step < servers.size(); ++step) {
      const ServerStatus& status = servers[policy.m_next++ % servers.size()];
      if (IsEligible(&status, m_eligibility))
        return status.m_server;
    }
    return std::nullopt;
  }

  Choice operator()(LeastReportedLoad&) const {
    const ServerStatus* least_loaded = nullptr;
    std::uint64_t ties = 0;
    for (const base::BackendServerId server : m_order) {
      const ServerStatus* status = FindEligible(server);
      if (status == nullptr)
        continue;
      const double load = ReportedUtilisation(*status);
      if (least_loaded == nullptr ||
          load < ReportedUtilisation(*least_loaded)) {
        least_loaded = status;
        ties = 1;
      } else if (load == ReportedUtilisation(*least_loaded) &&
                 m_random.Below(++ties) == 0) {
        least_loaded = status;
      }
    }
    return IdOf(least_loaded);
  }

  Choice operator()(const BoundedWalk& policy) const {
    const ServerStatus* least_loaded = nullptr;
    std::size_t considered = 0;
    for (const base::BackendServerId server : m_order) {
      const ServerStatus* status = FindEligible(server);
      if (status == nullptr)
        continue;
      if (least_loaded == nullptr || IsLessLoaded(*status, *least_loaded))
        least_loaded = status;
      if (policy.m_utilisation_margin == BoundedWalk::kUnlimitedMargin &&
          !status->IsFull())
        return server;
      if (++considered >= policy.m_candidates)
        break;
    }
    if (least_loaded == nullptr)
      return std::nullopt;
    if (least_loaded->IsFull())
      return policy.m_when_all_full == WhenAllFull::kRefuse
                 ? std::nullopt
                 : IdOf(least_loaded);
    return FirstServerWithin(least_loaded->Utilisation() +
                             policy.m_utilisation_margin);
  }

 private:
  static double ReportedUtilisation(const ServerStatus& status) {
    return status.m_reported_requests * status.m_inverse_bound;
  }

  static bool IsLessLoaded(const ServerStatus& first,
                           const ServerStatus& second) {
    if (first.IsFull() != second.IsFull())
      return second.IsFull();
    if (first.m_is_refusing != second.m_is_refusing)
      return second.m_is_refusing;
    return first.Utilisation() < second.Utilisation();
  }

  static Choice IdOf(const ServerStatus* status) {
    if (status == nullptr)
      return std::nullopt;
    return status->m_server;
  }

  const ServerStatus* FindEligible(base::BackendServerId server) const {
    const ServerStatus* status = m_view.Find(server);
    return IsEligible(status, m_eligibility) ? status : nullptr;
  }

  // Returns the first server in the order that is not full and whose
  // utilisation is at most `maximum`. The least loaded candidate satisfies both
  // conditions.
  Choice FirstServerWithin(double maximum) const {
    for (const base::BackendServerId server : m_order) {
      const ServerStatus* status = FindEligible(server);
      if (status != nullptr && !status->IsFull() &&
          status->Utilisation() <= maximum)
        return server;
    }
    return std::nullopt;
  }

  std::span<const base::BackendServerId> m_order;
  const LoadView& m_view;
  Eligibility m_eligibility;
  base::Random& m_random;
};

Choice ChooseAmong(PlacementPolicy& policy,
                   std::span<const base::BackendServerId> order,
                   const LoadView& view,
                   Eligibility eligibility,
                   base::Random& random) {
  return std::visit(Chooser(order, view, eligibility, random), policy);
}

bool HasHealthyServer(std::span<const base::BackendServerId> order,
                      const LoadView& view) {
  for (const base::BackendServerId server : order) {
    if (IsEligible(view.Find(server), Eligibility::kHealthy))
      return true;
  }
  return false;
}

}  // namespace

std::optional<base::BackendServerId> Choose(
    PlacementPolicy& policy,
    std::span<const base::BackendServerId> order,
    const LoadView& view,
    base::Random& random) {
  const Eligibility eligibility = HasHealthyServer(order, view)
                                      ? Eligibility::kHealthy
                                      : Eligibility::kNotDraining;
  return ChooseAmong(policy, order, view, eligibility, random);
}

}  // namespace placement
