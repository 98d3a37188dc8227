// How many flows break when the topology changes, for the product and for
// simpler balancers.

#ifndef BENCHMARKS_BROKEN_FLOWS_H_
#define BENCHMARKS_BROKEN_FLOWS_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace benchmark {

enum class BalancerVariant {
  kProduct,
  // The server at position hash modulo count; nothing is stored.
  kHashModulo,
  // Every flow at its first hash choice and every mechanism off.
  kHashOnly,
  // Each balancer stores what it sees; none asks another, none probes.
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
  // A server is added and a balancer killed while only half of the balancers
  // have the new version.
  kServerAddedAndBalancerKilled,
};

inline constexpr base::EnumTable<TopologyChange, 6> kTopologyChangeNames{{
    {TopologyChange::kNone, "no change"},
    {TopologyChange::kServerAdded, "server added"},
    {TopologyChange::kServerDrained, "server drained"},
    {TopologyChange::kBalancerKilled, "balancer killed"},
    {TopologyChange::kBalancerStarted, "balancer started"},
    {TopologyChange::kServerAddedAndBalancerKilled,
     "two at once, uneven versions"},
}};

// Flows opened before the change; each then exchanges several packets.
inline constexpr int kFlowsOpened = 1'000;

// Flows of kFlowsOpened that broke or stayed silent.
int CountBrokenFlows(BalancerVariant variant,
                     TopologyChange change,
                     std::uint64_t seed);

}  // namespace benchmark

#endif  // BENCHMARKS_BROKEN_FLOWS_H_
