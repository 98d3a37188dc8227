// Exports the counters of the traffic thread as metrics.

#ifndef SERVICES_COLTSFOOTDALE_TRAFFIC_METRICS_H_
#define SERVICES_COLTSFOOTDALE_TRAFFIC_METRICS_H_

namespace observability {
class MetricsRegistry;
}  // namespace observability

namespace service {

class TrafficCounters;

// Raises the metrics coltsfootdale_traffic_total{event=...} and
// coltsfootdale_drops_total{reason=...} to the values of `counters`.
void UpdateTrafficMetrics(const TrafficCounters& counters,
                          observability::MetricsRegistry& metrics);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_TRAFFIC_METRICS_H_
