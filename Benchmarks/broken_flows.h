// Counts the flows that break on a topology change, for the product and for
// simpler balancers.

#ifndef BENCHMARKS_BROKEN_FLOWS_H_
#define BENCHMARKS_BROKEN_FLOWS_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace benchmark {

enum class BalancerVariant {
  kProduct,
  // Forwards to the server at position hash modulo count. Stores no flows.
  kHashModulo,
  // Forwards every flow to its first hash choice. No balancer learns from
  // answers, relays, probes or resends openings.
  kHashOnly,
  // Each balancer stores the flows that pass it. No balancer relays or probes.
  kLocalTables,
};

inline constexpr base::EnumTable<BalancerVariant, 4> kBalancerVariantNames{{
    {BalancerVariant::kProduct, "product"},
    {BalancerVariant::kHashModulo, "hash modulo"},
    {BalancerVariant::kHashOnly, "hash only"},
    {BalancerVariant::kLocalTables, "local tables"},
}};

enum class TopologyChange {
  kNone,
  kServerAdded,
  kServerDrained,
  kBalancerKilled,
  kBalancerStarted,
  // A server is added and a balancer is killed while only half of the balancers
  // have the new configuration version.
  kServerAddedAndBalancerKilled,
};

inline constexpr base::EnumTable<TopologyChange, 6> kTopologyChangeNames{{
    {TopologyChange::kNone, "no change"},
    {TopologyChange::kServerAdded, "server added"},
    {TopologyChange::kServerDrained, "server drained"},
    {TopologyChange::kBalancerKilled, "balancer killed"},
    {TopologyChange::kBalancerStarted, "balancer started"},
    {TopologyChange::kServerAddedAndBalancerKilled,
     "server added and balancer killed, half of the balancers updated"},
}};

// Flows opened before the topology change.
inline constexpr int kFlowsOpened = 1'000;

// Returns how many of kFlowsOpened flows broke or received no answer after the
// change.
int CountBrokenFlows(BalancerVariant variant,
                     TopologyChange change,
                     std::uint64_t seed);

}  // namespace benchmark

#endif  // BENCHMARKS_BROKEN_FLOWS_H_
