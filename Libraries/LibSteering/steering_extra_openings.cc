// The part of Steering that decides about extra openings.

#include <algorithm>
#include <utility>

#include "LibSteering/steering.h"

namespace steering {

namespace {

// A slow server is chosen after all if the others have that many more requests
// in progress per slot. The budget for extra openings is zero from there on.
constexpr double kAvoidanceCost = ExtraBudget::kNothingFromLoad;

bool CanTakeOpening(const KnownServer& server) {
  return server.AcceptsOpenings() && !server.m_reachability.HasFailedProbe();
}

}  // namespace

double Steering::LoadOf(const std::string& service, base::TimePoint now) const {
  const ServiceTotals totals = m_directory.TotalsOf(service);
  const double own = totals.m_slots == 0
                         ? 0
                         : static_cast<double>(totals.m_requests) /
                               static_cast<double>(totals.m_slots);
  return std::max(own, m_extra.slow_servers().LoadOf(service, now));
}

std::optional<Placement> Steering::PlaceWithoutSlow(
    const OpeningPlacer& placer,
    const Route& route,
    std::span<KnownServer* const> servers,
    const KnownServer* previous_server,
    base::TimePoint now) {
  auto placement = placer.Place(servers, previous_server, m_random, now);
  if (!placement || !MayBeRepeated(route.m_kind) ||
      !m_extra.slow_servers().HasAny() ||
      !placement->m_server->m_slow_answers.IsSlow(now))
    return placement;
  const auto sound = m_extra.slow_servers().WithoutSlow(servers, now);
  const auto other = placer.Place(sound, previous_server, m_random, now);
  const bool is_better = other && CanTakeOpening(*other->m_server) &&
                         other->m_cost <= placement->m_cost + kAvoidanceCost;
  return is_better ? other : placement;
}

std::optional<Placement> Steering::PlaceTrial(const Route& route,
                                              const std::string& service,
                                              const ServiceOptions* options,
                                              base::TimePoint now) {
  if (!MayBeRepeated(route.m_kind) || !m_extra.slow_servers().HasAny())
    return std::nullopt;
  KnownServer* server = m_extra.slow_servers().CountOpening(
      [this](ServerHandle slow) { return m_directory.FindByHandle(slow); },
      service, now);
  if (server == nullptr || !CanTakeOpening(*server) ||
      !m_extra.Take(ExtraReason::kTrial, LoadOf(service, now), now))
    return std::nullopt;
  // The server may still be excluded for other reasons.
  auto trial = PlaceAmong(m_placer, route, {&server, 1}, options, nullptr, now);
  if (trial)
    trial->m_is_trial = true;
  return trial;
}

bool Steering::TakeEarlyCopy(const flow::FlowKey& flow,
                             const Route& route,
                             const KnownServer& previous_server,
                             base::TimePoint now) {
  const std::string& service = route.ServiceFor(flow::HashFlow(flow));
  const auto& servers = m_directory.ServersOf(service);
  const bool has_other =
      std::ranges::any_of(servers, [&](const KnownServer* server) {
        return server != &previous_server && CanTakeOpening(*server);
      });
  return MayBeRepeated(route.m_kind) && has_other &&
         m_extra.Take(ExtraReason::kEarlyCopy, LoadOf(service, now), now);
}

base::Duration Steering::ResendDelay(const Route& route,
                                     bool is_first_placement,
                                     base::TimePoint now) const {
  if (!m_extra.IsEnabled() || !is_first_placement ||
      !MayBeRepeated(route.m_kind))
    return m_settings.m_resend_after;
  return m_extra.CopyDelay(m_settings.m_resend_after, now);
}

void Steering::MarkUnansweredSuspected(const FlowRecord& record,
                                       KnownServer& server,
                                       base::TimePoint now) {
  MarkSuspected(server, record.m_request_at, now);
  if (record.m_extra != ExtraReason::kEarlyCopy)
    return;
  if (KnownServer* first = m_directory.FindByHandle(record.m_first_server))
    MarkSuspected(*first, record.m_first_seen, now);
}

void Steering::RecordTimes(const CallerPacket& packet,
                           const Observation& observation,
                           KnownServer& server,
                           base::TimePoint now) {
  if (!m_extra.IsEnabled())
    return;
  if (observation.m_answer)
    m_extra.slow_servers().RecordAnswer(server, packet.m_flow.m_service,
                                        observation.m_answer->m_time, now);
  const FlowRecord* record =
      observation.m_opening_time ? m_tracker.Find(packet.m_flow) : nullptr;
  if (record == nullptr)
    return;
  m_extra.RecordHandshake(*observation.m_opening_time, now);
  if (!record->m_extra)
    return;
  const bool is_first = server.m_handle == record->m_first_server;
  if (is_first == (*record->m_extra == ExtraReason::kTrial))
    m_extra.RecordAcknowledged(*record->m_extra);
  // The first server has not answered in time and may be down. An early copy
  // alone did not make it suspected.
  KnownServer* first = m_directory.FindByHandle(record->m_first_server);
  if (!is_first && first != nullptr)
    MarkSuspected(*first, record->m_first_seen, now);
}

}  // namespace steering
