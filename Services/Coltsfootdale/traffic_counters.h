// Counters that the traffic thread increments and every thread can read.

#ifndef SERVICES_COLTSFOOTDALE_TRAFFIC_COUNTERS_H_
#define SERVICES_COLTSFOOTDALE_TRAFFIC_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "LibBase/enum_table.h"
#include "LibFlow/effect.h"

namespace service {

enum class TrafficCounter : std::uint8_t {
  kPacketsFromCallers,
  kPacketsFromServers,
  // Packets that arrived from the fabric, not relayed by a balancer.
  kPacketsFromFabric,
  kRelaysReceived,
  kRelaysSent,
  kPacketsToServers,
  kPacketsToCallers,
  kOpeningsRefused,
  // Stored packets that were sent to another backend server than before.
  kPacketsResent,
  kPacketsMalformed,
  kSendFailures,
  // Silent flows that were reset at both ends.
  kFlowsReset,
};

inline constexpr base::EnumTable<TrafficCounter, 12> kTrafficCounterNames = {{
    {TrafficCounter::kPacketsFromCallers, "packets_from_callers"},
    {TrafficCounter::kPacketsFromServers, "packets_from_servers"},
    {TrafficCounter::kPacketsFromFabric, "packets_from_fabric"},
    {TrafficCounter::kRelaysReceived, "relays_received"},
    {TrafficCounter::kRelaysSent, "relays_sent"},
    {TrafficCounter::kPacketsToServers, "packets_to_servers"},
    {TrafficCounter::kPacketsToCallers, "packets_to_callers"},
    {TrafficCounter::kOpeningsRefused, "openings_refused"},
    {TrafficCounter::kPacketsResent, "packets_resent"},
    {TrafficCounter::kPacketsMalformed, "packets_malformed"},
    {TrafficCounter::kSendFailures, "send_failures"},
    {TrafficCounter::kFlowsReset, "silent_flows_reset"},
}};

class TrafficCounters {
 public:
  std::uint64_t Value(TrafficCounter counter) const {
    return m_counters[static_cast<std::size_t>(counter)].load(
        std::memory_order_relaxed);
  }
  std::uint64_t Drops(flow::DropReason reason) const {
    return m_drops[static_cast<std::size_t>(reason)].load(
        std::memory_order_relaxed);
  }

  void Add(TrafficCounter counter, std::uint64_t count = 1) {
    m_counters[static_cast<std::size_t>(counter)].fetch_add(
        count, std::memory_order_relaxed);
  }
  void AddDrop(flow::DropReason reason) {
    m_drops[static_cast<std::size_t>(reason)].fetch_add(
        1, std::memory_order_relaxed);
  }

 private:
  std::array<std::atomic<std::uint64_t>, kTrafficCounterNames.size()>
      m_counters{};
  std::array<std::atomic<std::uint64_t>, flow::kDropReasonNames.size()>
      m_drops{};
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_TRAFFIC_COUNTERS_H_
