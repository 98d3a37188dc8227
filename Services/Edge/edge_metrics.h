// The counters, gauges and histograms of an edge balancer.

#ifndef SERVICES_EDGE_EDGE_METRICS_H_
#define SERVICES_EDGE_EDGE_METRICS_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "LibAdmission/admission_verdict.h"
#include "LibBase/time.h"
#include "LibObservability/metrics.h"
#include "LibSteering/decision.h"
#include "LibSteering/extra_openings.h"

namespace edge {

class EdgeMetrics {
 public:
  EdgeMetrics();

  // Queries.
  std::string Render() const { return m_registry.RenderPrometheus(); }

  // Commands.
  void CountDecision(const steering::Decision& decision);
  // Counts an overdue request that counts as unanswered by its server.
  void CountUnanswered() { m_unanswered->Add(); }
  // Counts a probe that proves nothing because of a bulk transfer.
  void CountInconclusiveProbe() { m_inconclusive_probes->Add(); }
  // Counts a datagram that was not handled or not sent.
  void CountDiscarded(std::string_view reason);
  // `call_time` is the time from the call to its response or failure.
  void CountStoreCall(std::string_view collection,
                      std::string_view result,
                      base::Duration call_time);
  // Counts a field of the store's objects that cannot be used as it is.
  void CountFieldProblem(std::string_view field, std::string_view consequence);
  // Counts a message or response of a peer that was not used.
  void CountFeedRefused(std::string_view reason);
  // Counts the load in a message of a peer; `result` is a name of
  // load_exchange::kLoadResultNames.
  void CountLoad(std::string_view result);
  // `problem` is a name of event_loop::kListenerProblemNames.
  void CountListenerProblem(std::string_view listener,
                            std::string_view problem);
  // `change` is a name of kDirectoryChangeNames.
  void CountServerChange(std::string_view change);
  // Publishes the counts of extra openings and the number of slow servers.
  void SetExtraOpenings(const steering::ExtraOpenings& extra);
  // Records the mean time per packet of a batch that was handled in
  // `per_batch`.
  void RecordDecisionTime(base::Duration per_batch, std::size_t packets);
  void SetGauge(std::string_view name, std::string_view help, double value) {
    m_registry.GaugeOf(name, help).Set(value);
  }

 private:
  void CountAdmission(const admission::AdmissionVerdict& verdict,
                      const steering::Route& route);

  static constexpr std::size_t kReasons = steering::kReasonNames.size();
  static constexpr std::size_t kKinds = steering::kRequestKindNames.size();

  observability::MetricsRegistry m_registry;
  // The constructor looks these metrics up, since a lookup for each packet
  // would cost more than the packet's decision.
  std::array<observability::Counter*, kReasons> m_packets{};
  std::array<observability::Counter*, kKinds> m_repeats{};
  std::array<observability::Histogram*, kKinds> m_answers{};
  observability::Counter* m_unanswered = nullptr;
  observability::Counter* m_inconclusive_probes = nullptr;
  observability::Histogram* m_packet_time = nullptr;
};

}  // namespace edge

#endif  // SERVICES_EDGE_EDGE_METRICS_H_
