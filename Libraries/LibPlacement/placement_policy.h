// Policies that choose a backend server for a new flow. A policy is a pure
// function of the flow's rendezvous order (Thaler and Ravishankar, 1998), the
// load view, the random generator and the policy's own state.

#ifndef LIBPLACEMENT_PLACEMENT_POLICY_H_
#define LIBPLACEMENT_PLACEMENT_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <variant>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/random.h"

namespace placement {

class LoadView;

// What BoundedWalk does when every candidate is full.
enum class WhenAllFull {
  // Chooses the candidate with the lowest utilisation; candidates that are
  // refusing openings come last.
  kLeastOverBound,
  // Chooses no server, so that the opening is refused.
  kRefuse,
};

inline constexpr base::EnumTable<WhenAllFull, 2> kWhenAllFullNames{{
    {WhenAllFull::kLeastOverBound, "least-over-bound"},
    {WhenAllFull::kRefuse, "refuse"},
}};

// Baseline policy: the first eligible server of the rendezvous order,
// regardless of its load.
struct FirstHash {};

// Baseline policy: the eligible servers in turn.
struct RoundRobin {
  std::uint64_t m_next = 0;
};

// Baseline policy: the server with the least reported load relative to its
// bound. The report is not corrected.
struct LeastReportedLoad {};

// Chooses the first server of the rendezvous order that is not full and whose
// utilisation exceeds that of the least loaded candidate by at most a margin.
// Related to consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018).
struct BoundedWalk {
  static constexpr std::size_t kAllCandidates =
      std::numeric_limits<std::size_t>::max();
  static constexpr double kUnlimitedMargin =
      std::numeric_limits<double>::infinity();

  // Maximum number of candidates. Draining, ejected and unhealthy servers are
  // skipped and not counted.
  std::size_t m_candidates = 3;
  // Maximum difference between the utilisation of the chosen server and that of
  // the least loaded candidate, as a share of the bound. kUnlimitedMargin
  // chooses the first candidate that is not full, which gives the fewest
  // exceptions (flows off their first hash choice). Zero chooses the least
  // loaded candidate.
  double m_utilisation_margin = kUnlimitedMargin;
  WhenAllFull m_when_all_full = WhenAllFull::kLeastOverBound;
};

using PlacementPolicy =
    std::variant<FirstHash, RoundRobin, LeastReportedLoad, BoundedWalk>;

// Chooses a server from `order`, the flow's rendezvous order; RoundRobin
// chooses from all servers of `view`. Returns nothing if no server may receive
// the flow. A draining server is never chosen. An ejected or unhealthy server
// is chosen only if no server of `order` is healthy (neither draining, ejected
// nor unhealthy). Allocates no memory. Changes `policy` only by advancing
// RoundRobin's counter.
std::optional<base::BackendServerId> Choose(
    PlacementPolicy& policy,
    std::span<const base::BackendServerId> order,
    const LoadView& view,
    base::Random& random);

}  // namespace placement

#endif  // LIBPLACEMENT_PLACEMENT_POLICY_H_
