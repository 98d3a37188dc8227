#include "traffic_metrics.h"

#include <string>

#include "LibFlow/effect.h"
#include "LibObservability/metrics.h"
#include "traffic_counters.h"

namespace service {

void UpdateTrafficMetrics(const TrafficCounters& counters,
                          observability::MetricsRegistry& metrics) {
  for (const auto& entry : kTrafficCounterNames)
    metrics
        .CounterOf("coltsfootdale_traffic_total",
                   "Packets and openings by what became of them.",
                   {{"event", std::string(entry.m_name)}})
        .RaiseTo(counters.Value(entry.m_value));
  for (const auto& entry : flow::kDropReasonNames)
    metrics
        .CounterOf("coltsfootdale_drops_total", "Packets dropped by reason.",
                   {{"reason", std::string(entry.m_name)}})
        .RaiseTo(counters.Drops(entry.m_value));
}

}  // namespace service
