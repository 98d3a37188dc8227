#include "edge_metrics.h"

#include <chrono>
#include <vector>

namespace edge {

namespace {

// The bounds reach from a tenth of a request's usual processing time to the
// longest time limit.
const std::vector<double> kAnswerSeconds = {0.005, 0.01, 0.025, 0.05, 0.1,
                                            0.25,  0.5,  1,     2,    5};
// The bounds reach from the store's usual response time to the longest watch.
const std::vector<double> kCallSeconds = {0.005, 0.01, 0.05, 0.1, 0.5,
                                          1,     2,    4,    10};
const std::vector<double> kDecisionSeconds = {1e-6, 2e-6, 5e-6, 1e-5,
                                              5e-5, 1e-4, 1e-3};

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

template <typename Enum>
std::size_t IndexOf(Enum value) {
  return static_cast<std::size_t>(value);
}

}  // namespace

EdgeMetrics::EdgeMetrics() {
  for (const auto& [reason, name] : steering::kReasonNames)
    m_packets[IndexOf(reason)] =
        &m_registry.CounterOf("coltsfootdale_packets_total",
                              "Packets of callers by what decided about them",
                              {{"reason", std::string(name)}});
  for (const auto& [kind, name] : steering::kRequestKindNames) {
    const observability::Labels labels = {{"kind", std::string(name)}};
    m_repeats[IndexOf(kind)] = &m_registry.CounterOf(
        "coltsfootdale_repeats_total",
        "Packets that callers repeated on open flows", labels);
    m_answers[IndexOf(kind)] = &m_registry.HistogramOf(
        "coltsfootdale_answer_seconds",
        "From what a caller sent to the first sign of an answer",
        kAnswerSeconds, labels);
  }
  m_unanswered =
      &m_registry.CounterOf("coltsfootdale_requests_unanswered_total",
                            "Requests that waited far longer than others");
  m_inconclusive_probes = &m_registry.CounterOf(
      "coltsfootdale_probes_inconclusive_total",
      "Failed probes that prove nothing because of a bulk transfer");
  m_packet_time = &m_registry.HistogramOf(
      "coltsfootdale_packet_seconds",
      "Processor time of one packet, from receipt to sending",
      kDecisionSeconds);
}

void EdgeMetrics::CountDecision(const steering::Decision& decision) {
  m_packets[IndexOf(decision.m_reason)]->Add();
  if (decision.m_route == nullptr)
    return;
  if (decision.m_admission)
    CountAdmission(*decision.m_admission, *decision.m_route);
  const std::size_t kind = IndexOf(decision.m_route->m_kind);
  if (decision.m_packet_kind == steering::PacketKind::kAnswer)
    m_answers[kind]->Record(Seconds(decision.m_waited));
  if (decision.m_packet_kind == steering::PacketKind::kRetransmission)
    m_repeats[kind]->Add();
}

void EdgeMetrics::CountAdmission(const admission::AdmissionVerdict& verdict,
                                 const steering::Route& route) {
  m_registry
      .CounterOf(
          "coltsfootdale_admissions_total",
          "Openings to services with admission by priority",
          {{"kind",
            std::string(NameOf(steering::kRequestKindNames, route.m_kind))},
           {"priority", route.m_priority == steering::kLeastUrgentPriority
                            ? std::string("none")
                            : std::to_string(route.m_priority)},
           {"basis", std::string(NameOf(admission::kAdmissionBasisNames,
                                        verdict.m_basis))}})
      .Add();
}

void EdgeMetrics::CountDiscarded(std::string_view reason) {
  m_registry
      .CounterOf("coltsfootdale_datagrams_discarded_total",
                 "Datagrams that are no packets of callers",
                 {{"reason", std::string(reason)}})
      .Add();
}

void EdgeMetrics::CountStoreCall(std::string_view collection,
                                 std::string_view result,
                                 base::Duration call_time) {
  m_registry
      .CounterOf("coltsfootdale_store_calls_total",
                 "Calls to the store by their results",
                 {{"collection", std::string(collection)},
                  {"result", std::string(result)}})
      .Add();
  m_registry
      .HistogramOf("coltsfootdale_store_call_seconds",
                   "Time of calls to the store, the wait of watches included",
                   kCallSeconds)
      .Record(Seconds(call_time));
}

void EdgeMetrics::CountFieldProblem(std::string_view field,
                                    std::string_view consequence) {
  m_registry
      .CounterOf(
          "coltsfootdale_fields_unusable_total",
          "Fields of the store's objects that cannot be used as they are",
          {{"field", std::string(field)},
           {"consequence", std::string(consequence)}})
      .Add();
}

void EdgeMetrics::CountFeedRefused(std::string_view reason) {
  m_registry
      .CounterOf("coltsfootdale_feed_refused_total",
                 "Messages of peers about the view that were not used",
                 {{"reason", std::string(reason)}})
      .Add();
}

void EdgeMetrics::CountLoad(std::string_view result) {
  m_registry
      .CounterOf("coltsfootdale_load_messages_total",
                 "Messages of peers with load, by what became of the load",
                 {{"result", std::string(result)}})
      .Add();
}

void EdgeMetrics::CountListenerProblem(std::string_view listener,
                                       std::string_view problem) {
  m_registry
      .CounterOf("coltsfootdale_listener_problems_total",
                 "Connections to an HTTP listener that were not served",
                 {{"listener", std::string(listener)},
                  {"problem", std::string(problem)}})
      .Add();
}

void EdgeMetrics::CountServerChange(std::string_view change) {
  m_registry
      .CounterOf("coltsfootdale_server_changes_total",
                 "Changes of belief about backend servers",
                 {{"change", std::string(change)}})
      .Add();
}

void EdgeMetrics::SetExtraOpenings(const steering::ExtraOpenings& extra) {
  for (const auto& [reason, name] : steering::kExtraReasonNames) {
    const observability::Labels labels = {{"reason", std::string(name)}};
    const steering::ExtraOpeningCounts& counts = extra.CountsOf(reason);
    m_registry
        .CounterOf("coltsfootdale_extra_openings_total",
                   "Extra openings against slow answers", labels)
        .RaiseTo(counts.m_sent);
    m_registry
        .CounterOf("coltsfootdale_extra_openings_acknowledged_total",
                   "Extra openings whose server the caller's flow opened at",
                   labels)
        .RaiseTo(counts.m_acknowledged);
    m_registry
        .CounterOf("coltsfootdale_extra_openings_refused_total",
                   "Extra openings that the budget did not cover", labels)
        .RaiseTo(counts.m_refused);
  }
  SetGauge("coltsfootdale_servers_slow",
           "Servers that answer far more slowly than their service",
           static_cast<double>(extra.slow_servers().size()));
}

void EdgeMetrics::RecordDecisionTime(base::Duration per_batch,
                                     std::size_t packets) {
  m_packet_time->Record(Seconds(per_batch) / static_cast<double>(packets));
}

}  // namespace edge
