// Policies that choose a backend server for a new flow. All are pure functions
// of the flow's rendezvous order (Thaler and Ravishankar, 1998), the view of
// load, and state that they hold themselves.

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

// What a bounded walk does when every candidate is full.
enum class WhenAllFull {
  // Chooses the candidate that is least far over its bound.
  kLeastOverBound,
  // Chooses nothing, so that the opening is refused.
  kRefuse,
};

inline constexpr base::EnumTable<WhenAllFull, 2> kWhenAllFullNames{{
    {WhenAllFull::kLeastOverBound, "least-over-bound"},
    {WhenAllFull::kRefuse, "refuse"},
}};

// Baseline: the first server of the order that may take flows at all.
struct FirstHash {};

// Baseline: each server in turn.
struct RoundRobin {
  std::uint64_t m_next = 0;
};

// Baseline: the server that reported the least load, believed as it stands.
struct LeastReportedLoad {};

// Walks the flow's order and takes the first candidate that is under its bound
// and not much more loaded than the least loaded candidate (kin to consistent
// hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018).
struct BoundedWalk {
  static constexpr std::size_t kAllCandidates =
      std::numeric_limits<std::size_t>::max();
  static constexpr double kUnlimitedMargin =
      std::numeric_limits<double>::infinity();

  // Servers of the order that are considered; those draining, ejected or
  // unhealthy are passed over and not counted.
  std::size_t m_candidates = 3;
  // How much more utilised than the least utilised candidate the chosen one
  // may be, as a share of its bound. kUnlimitedMargin prefers the first free
  // one, and so the fewest exceptions; zero prefers the least loaded.
  double m_utilisation_margin = kUnlimitedMargin;
  WhenAllFull m_when_all_full = WhenAllFull::kLeastOverBound;
};

using PlacementPolicy =
    std::variant<FirstHash, RoundRobin, LeastReportedLoad, BoundedWalk>;

// Chooses a server out of `order`, the flow's rendezvous order. Nothing if no
// server may take the flow. Servers that drain are never chosen; servers that
// are ejected or unhealthy only if all others drain. Allocates nothing. The
// policy is changed only by RoundRobin's counter.
std::optional<base::BackendServerId> Choose(
    PlacementPolicy& policy,
    std::span<const base::BackendServerId> order,
    const LoadView& view,
    base::Random& random);

}  // namespace placement

#endif  // LIBPLACEMENT_PLACEMENT_POLICY_H_
