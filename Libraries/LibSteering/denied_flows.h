// Remembers when the balancer first received a packet of each flow that its
// view of the store denies and that has no record of its own.

#ifndef LIBSTEERING_DENIED_FLOWS_H_
#define LIBSTEERING_DENIED_FLOWS_H_

#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibSteering/flow_tracker.h"

namespace steering {

class DeniedFlows {
 public:
  // A caller waits for an answer for some seconds at most.
  static constexpr base::Duration kRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaximumFlows = 4096;

  // Queries.
  std::size_t size() const { return m_first_seen.size(); }

  // Commands.
  // Returns `now` for a flow that is not known, and records it unless the table
  // is full.
  base::TimePoint FirstSeen(const flow::FlowKey& flow, base::TimePoint now) {
    const auto known = m_first_seen.find(flow);
    if (known != m_first_seen.end())
      return known->second;
    if (m_first_seen.size() < kMaximumFlows)
      m_first_seen.emplace(flow, now);
    return now;
  }
  void Remove(const flow::FlowKey& flow) { m_first_seen.erase(flow); }
  void Sweep(base::TimePoint now) {
    std::erase_if(m_first_seen, [now](const auto& entry) {
      return now - entry.second >= kRetention;
    });
  }

 private:
  std::unordered_map<flow::FlowKey, base::TimePoint, FlowTracker::FlowHash>
      m_first_seen;
};

}  // namespace steering

#endif  // LIBSTEERING_DENIED_FLOWS_H_
