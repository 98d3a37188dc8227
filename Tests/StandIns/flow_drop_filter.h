// Imitates a middlebox that lost its flow table: silently drops the packets of
// existing flows in one direction, while flows that open later pass.

#ifndef STANDINS_FLOW_DROP_FILTER_H_
#define STANDINS_FLOW_DROP_FILTER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"

namespace stand_ins {

// Which packets are dropped, by the side that sent them.
enum class DropSide : std::uint8_t {
  // From callers, before the balancers.
  kCallers,
  // From backend servers, before the balancers.
  kServers,
};

inline constexpr base::EnumTable<DropSide, 2> kDropSideNames{{
    {DropSide::kCallers, "callers"},
    {DropSide::kServers, "servers"},
}};

class FlowDropFilter {
 public:
  using Bytes = std::span<const std::uint8_t>;

  FlowDropFilter(DropSide direction, base::Ipv4Address caller)
      : m_side(direction), m_caller(caller) {}

  // Queries.
  std::uint64_t dropped() const { return m_dropped; }

  // Commands.
  // Returns whether to drop the packet, which came from the given side. Counts
  // dropped packets and records openings.
  bool ShouldDrop(DropSide from, Bytes packet);

 private:
  DropSide m_side;
  base::Ipv4Address m_caller;
  // Source ports from which the caller opened a flow since the filter started.
  std::set<std::uint16_t> m_ports_opened_since;
  std::uint64_t m_dropped = 0;
};

}  // namespace stand_ins

#endif  // STANDINS_FLOW_DROP_FILTER_H_
