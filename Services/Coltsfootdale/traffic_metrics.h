// Renders what the traffic thread counts as metrics.

#ifndef SERVICES_COLTSFOOTDALE_TRAFFIC_METRICS_H_
#define SERVICES_COLTSFOOTDALE_TRAFFIC_METRICS_H_

namespace observability {
class MetricsRegistry;
}  // namespace observability

namespace service {

class TrafficCounters;

// Brings the metrics coltsfootdale_traffic_total{event=...} and
// coltsfootdale_drops_total{reason=...} up to `counters`.
void UpdateTrafficMetrics(const TrafficCounters& counters,
                          observability::MetricsRegistry& metrics);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_TRAFFIC_METRICS_H_
