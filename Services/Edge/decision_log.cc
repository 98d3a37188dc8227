#include "decision_log.h"

#include <chrono>
#include <string>
#include <variant>

#include "LibBase/milliseconds.h"

namespace edge {

namespace {

using observability::Event;
using observability::Severity;

std::string ServerNameOf(const steering::Decision& decision) {
  return decision.m_server == nullptr
             ? std::string()
             : decision.m_server->m_record.m_name.value();
}

std::string DataCentreOf(const steering::Decision& decision) {
  return decision.m_server == nullptr
             ? std::string()
             : decision.m_server->m_record.m_data_centre.value();
}

std::string RouteNameOf(const steering::Decision& decision) {
  return decision.m_route == nullptr ? std::string() : decision.m_route->m_name;
}

std::uint32_t RequestsInProgressOf(const steering::Decision& decision) {
  return decision.m_server == nullptr
             ? 0
             : decision.m_server->m_requests_in_progress;
}

// The age in milliseconds; -1 if the store has never confirmed the servers.
std::int64_t ViewAgeMilliseconds(const ViewVersion& view) {
  return view.m_view_age ? base::WholeMilliseconds(*view.m_view_age) : -1;
}

Event OpeningEventOf(const steering::Decision& decision) {
  if (std::holds_alternative<steering::Reset>(decision.m_action))
    return Event::kOpeningRefused;
  if (std::holds_alternative<steering::Drop>(decision.m_action))
    return Event::kPacketDropped;
  const bool is_placed =
      decision.m_reason == steering::Reason::kPlaced ||
      decision.m_reason == steering::Reason::kPlacedInEvacuated;
  return is_placed ? Event::kOpeningPlaced : Event::kOpeningMoved;
}

}  // namespace

std::string ConfirmedBy(const ViewVersion& view) {
  if (!view.m_view_age)
    return "none";
  return view.m_confirmed_by ? ToString(*view.m_confirmed_by) : "store";
}

void DecisionLog::Write(const steering::CallerPacket& packet,
                        std::string_view request_id,
                        const steering::Decision& decision,
                        const ViewVersion& view,
                        base::TimePoint now) {
  if (decision.m_changed_server != nullptr)
    WriteReachability(*decision.m_changed_server, now);
  if (packet.m_is_opening)
    WriteOpening(packet.m_flow, decision, view, now);
  else
    WriteEstablished(packet, request_id, decision, view, now);
}

void DecisionLog::WriteResend(const steering::OpeningResend& resend,
                              const ViewVersion& view,
                              base::TimePoint now) {
  WriteOpening(resend.m_flow, resend.m_decision, view, now);
}

void DecisionLog::WriteOpening(const flow::FlowKey& flow,
                               const steering::Decision& decision,
                               const ViewVersion& view,
                               base::TimePoint now) {
  if (decision.m_extra)
    WriteExtra(flow, decision, now);
  if (decision.m_reason == steering::Reason::kOverloaded) {
    WriteOverload(flow, decision, view, now);
    return;
  }
  const Event event = OpeningEventOf(decision);
  if (!m_log.Admit(event, now))
    return;
  m_log.Write(Severity::kInfo, event,
              {{"caller", ToString(flow.m_caller)},
               {"address", ToString(flow.m_service)},
               {"route", RouteNameOf(decision)},
               {"reason", NameOf(steering::kReasonNames, decision.m_reason)},
               {"server", ServerNameOf(decision)},
               {"data_centre", DataCentreOf(decision)},
               {"candidates", std::uint64_t{decision.m_candidates}},
               {"cost", decision.m_cost},
               {"in_progress", RequestsInProgressOf(decision)},
               {"servers_revision", view.m_servers_revision},
               {"servers_age_ms", ViewAgeMilliseconds(view)},
               {"manifest", view.m_manifest_version}});
}

void DecisionLog::WriteExtra(const flow::FlowKey& flow,
                             const steering::Decision& decision,
                             base::TimePoint now) {
  if (!m_log.Admit(Event::kExtraOpening, now))
    return;
  m_log.Write(
      Severity::kInfo, Event::kExtraOpening,
      {{"caller", ToString(flow.m_caller)},
       {"address", ToString(flow.m_service)},
       {"route", RouteNameOf(decision)},
       {"extra", NameOf(steering::kExtraReasonNames, *decision.m_extra)},
       {"server", ServerNameOf(decision)}});
}

void DecisionLog::WriteOverload(const flow::FlowKey& flow,
                                const steering::Decision& decision,
                                const ViewVersion& view,
                                base::TimePoint now) {
  if (!m_log.Admit(Event::kOpeningRefused, now))
    return;
  const admission::AdmissionVerdict verdict =
      decision.m_admission.value_or(admission::AdmissionVerdict());
  const std::uint32_t priority =
      decision.m_route == nullptr ? 0 : decision.m_route->m_priority;
  m_log.Write(
      Severity::kInfo, Event::kOpeningRefused,
      {{"caller", ToString(flow.m_caller)},
       {"address", ToString(flow.m_service)},
       {"route", RouteNameOf(decision)},
       {"reason", NameOf(steering::kReasonNames, decision.m_reason)},
       {"basis", NameOf(admission::kAdmissionBasisNames, verdict.m_basis)},
       {"priority", std::uint64_t{priority}},
       {"limit", verdict.m_limit},
       {"in_progress", std::uint64_t{verdict.m_in_progress}},
       {"admitted_share", verdict.m_admitted_share},
       {"refused_share", verdict.m_signs.m_refused_share},
       {"slowdown", verdict.m_signs.m_slowdown},
       {"answers", verdict.m_signs.m_answers},
       {"manifest", view.m_manifest_version}});
}

void DecisionLog::WriteEstablished(const steering::CallerPacket& packet,
                                   std::string_view request_id,
                                   const steering::Decision& decision,
                                   const ViewVersion& view,
                                   base::TimePoint now) {
  const bool is_forwarded =
      std::holds_alternative<steering::Forward>(decision.m_action);
  const bool is_repeat =
      decision.m_packet_kind == steering::PacketKind::kRetransmission;
  const bool awaited_view =
      decision.m_reason == steering::Reason::kDenialNotConfirmed ||
      decision.m_reason == steering::Reason::kAllowedByNewerView;
  if (is_forwarded && !is_repeat && !awaited_view && request_id.empty())
    return;
  const Event event = std::holds_alternative<steering::Reset>(decision.m_action)
                          ? Event::kFlowReset
                      : !is_forwarded ? Event::kPacketDropped
                      : is_repeat     ? Event::kRequestRepeated
                                      : Event::kRequestForwarded;
  if (!m_log.Admit(event, now))
    return;
  m_log.Write(is_forwarded ? Severity::kInfo : Severity::kWarning, event,
              {{"request", request_id},
               {"caller", ToString(packet.m_flow.m_caller)},
               {"address", ToString(packet.m_flow.m_service)},
               {"route", RouteNameOf(decision)},
               {"reason", NameOf(steering::kReasonNames, decision.m_reason)},
               {"server", ServerNameOf(decision)},
               {"data_centre", DataCentreOf(decision)},
               {"token", packet.m_token.value()},
               {"waited_ms", base::WholeMilliseconds(decision.m_waited)},
               {"in_progress", RequestsInProgressOf(decision)},
               {"servers_revision", view.m_servers_revision},
               {"servers_age_ms", ViewAgeMilliseconds(view)},
               {"confirmed_by", ConfirmedBy(view)},
               {"manifest", view.m_manifest_version}});
}

void DecisionLog::WriteUnanswered(const steering::OverdueRequest& request,
                                  const steering::KnownServer& server,
                                  base::Duration overdue_after,
                                  base::TimePoint now) {
  if (!m_log.Admit(Event::kRequestUnanswered, now))
    return;
  m_log.Write(
      Severity::kWarning, Event::kRequestUnanswered,
      {{"caller", ToString(request.m_flow.m_caller)},
       {"address", ToString(request.m_flow.m_service)},
       {"server", server.m_record.m_name.value()},
       {"data_centre", server.m_record.m_data_centre.value()},
       {"waited_ms", base::WholeMilliseconds(request.m_waited)},
       {"overdue_after_ms", base::WholeMilliseconds(overdue_after)},
       {"unanswered_share", server.m_answer_statistics.UnansweredShare(now)},
       {"in_progress", server.m_requests_in_progress}});
}

void DecisionLog::WriteSlowness(const steering::KnownServer& server,
                                bool is_slow,
                                base::TimePoint now) {
  const Event event = is_slow ? Event::kServerSlow : Event::kServerSound;
  if (!m_log.Admit(event, now))
    return;
  m_log.Write(Severity::kWarning, event,
              {{"server", server.m_record.m_name.value()},
               {"service", server.m_record.m_service},
               {"data_centre", server.m_record.m_data_centre.value()},
               {"in_progress", server.m_requests_in_progress}});
}

void DecisionLog::WriteReachability(const steering::KnownServer& server,
                                    base::TimePoint now) {
  const Event event = server.m_reachability.IsUnreachable()
                          ? Event::kServerUnreachable
                          : Event::kServerReachable;
  if (!m_log.Admit(event, now))
    return;
  const auto progress = server.m_reachability.LastProgress();
  m_log.Write(
      Severity::kWarning, event,
      {{"server", server.m_record.m_name.value()},
       {"data_centre", server.m_record.m_data_centre.value()},
       {"failed_probes", server.m_reachability.FailedProbes()},
       {"last_progress_ms",
        progress ? base::WholeMilliseconds(now - *progress) : std::int64_t{-1}},
       {"in_progress", server.m_requests_in_progress}});
}

void DecisionLog::WriteInconclusiveProbe(const steering::KnownServer& server,
                                         std::uint64_t received_bytes,
                                         base::TimePoint now) {
  if (!m_log.Admit(Event::kProbeInconclusive, now))
    return;
  const auto suspected = server.m_reachability.SuspectedSince().value_or(now);
  m_log.Write(Severity::kWarning, Event::kProbeInconclusive,
              {{"server", server.m_record.m_name.value()},
               {"data_centre", server.m_record.m_data_centre.value()},
               {"received_bytes", received_bytes},
               {"suspected_ms", base::WholeMilliseconds(now - suspected)},
               {"in_progress", server.m_requests_in_progress}});
}

}  // namespace edge
