// Chooses the backend server of a new flow.
//
// A balancer counts only the requests of its own callers. The deployments have
// servers with two or three slots. There, the least loaded server in the
// balancer's own data centre is the best choice until all servers there have
// queues.

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
  // The load of an active flow without a request, in requests in progress. A
  // long flow has a request in progress about a twentieth of the time.
  double m_flow_weight = 0.06;
  // The cost of a server in another data centre, in requests per slot. With a
  // cost below one, flows would go to the other data centre to avoid a queue
  // that takes less time than the way there.
  double m_remote_penalty = 1.0;
  // The factor by which a server is slower during its warm-up.
  double m_warm_up_factor = 1.6;
  // The cost of an unanswered request, in requests per slot. Its caller waits
  // for the whole time limit, about 20 times as long as for an answer.
  double m_unanswered_cost = 20;
};

struct Placement {
  KnownServer* m_server = nullptr;
  // How many servers were eligible, and the cost of the chosen one.
  std::size_t m_candidates = 0;
  double m_cost = 0;
  // The opening is to show whether a slow server has recovered.
  bool m_is_trial = false;
};

class OpeningPlacer {
 public:
  OpeningPlacer(PlacementPolicy policy, base::DataCentreId own)
      : m_policy(policy), m_own_data_centre(std::move(own)) {}

  // Queries.
  // The expected wait at `server`, in requests per slot.
  double CostOf(const KnownServer& server, base::TimePoint now) const;

  // Commands.
  // Sets whether the balancer is cut off from all other data centres while some
  // are evacuated.
  void SetIsCutOff(bool is_cut_off) { m_is_cut_off = is_cut_off; }
  // The ready server of least cost among `servers` without `excluded`. Never
  // chooses an unreachable server, nor an evacuated one unless SetIsCutOff. A
  // server with a failed probe, or in another data centre if SetIsCutOff, is
  // chosen only if there is no other. Among servers of equal cost, `random`
  // decides.
  std::optional<Placement> Place(std::span<KnownServer* const> servers,
                                 const KnownServer* excluded,
                                 base::Random& random,
                                 base::TimePoint now) const;

 private:
  bool IsRemote(const KnownServer& server) const {
    return server.m_record.m_data_centre != m_own_data_centre;
  }

  PlacementPolicy m_policy;
  base::DataCentreId m_own_data_centre;
  bool m_is_cut_off = false;
};

}  // namespace steering

#endif  // LIBSTEERING_OPENING_PLACER_H_
