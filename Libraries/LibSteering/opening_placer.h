// Chooses the backend server of a new flow.
//
// Every balancer sees the requests of its own callers only; on the deployments
// this is for, with two or three slots a server, the least busy server of the
// caller's own data centre is the best choice until all of them queue.

#ifndef LIBSTEERING_OPENING_PLACER_H_
#define LIBSTEERING_OPENING_PLACER_H_

#include <cstddef>
#include <optional>
#include <span>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibSteering/known_server.h"

namespace steering {

struct PlacementPolicy {
  // The load of an open flow at rest, in requests in progress: a long flow has
  // a request in progress about a twentieth of the time.
  double m_flow_weight = 0.06;
  // What another data centre costs, in requests a slot. Below one, callers
  // would cross for a queue that is shorter than the way there.
  double m_remote_penalty = 1.0;
  // How much slower a server is while it warms up.
  double m_warm_up_factor = 1.6;
  // What a request that stays unanswered costs, in requests a slot: its caller
  // waits for the whole time limit, some twenty times as long as for an answer.
  double m_unanswered_cost = 20;
};

struct Placement {
  KnownServer* m_server = nullptr;
  // How many servers were weighed, and the cost of the one chosen.
  std::size_t m_candidates = 0;
  double m_cost = 0;
};

class OpeningPlacer {
 public:
  OpeningPlacer(PlacementPolicy policy, base::DataCentreId own)
      : m_policy(policy), m_own_data_centre(std::move(own)) {}

  // Queries.
  // Expected waiting at `server` in requests a slot; lower is better.
  double CostOf(const KnownServer& server, base::TimePoint now) const;

  // Commands.
  // The best of `servers` but `excluded`; doubtful servers only if there is no
  // other, and unreachable ones never. Equal costs are drawn by `random`.
  std::optional<Placement> Place(std::span<KnownServer* const> servers,
                                 const KnownServer* excluded,
                                 base::Random& random,
                                 base::TimePoint now) const;

 private:
  PlacementPolicy m_policy;
  base::DataCentreId m_own_data_centre;
};

}  // namespace steering

#endif  // LIBSTEERING_OPENING_PLACER_H_
