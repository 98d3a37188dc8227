#include "LibSteering/steering.h"

#include <algorithm>
#include <utility>

namespace steering {

namespace {

PlacementPolicy WithoutRemotePenalty(PlacementPolicy policy) {
  policy.m_remote_penalty = 0;
  return policy;
}

}  // namespace

Steering::Steering(SteeringSettings settings,
                   std::uint64_t seed,
                   base::TimePoint now)
    : m_settings(std::move(settings)),
      m_random(seed),
      m_admissions(m_directory, m_settings.m_data_centre),
      m_placer(m_settings.m_placement, m_settings.m_data_centre),
      m_remote_placer(WithoutRemotePenalty(m_settings.m_placement),
                      m_settings.m_data_centre),
      m_extra(m_settings.m_extra_openings_percent),
      m_probe_budget(m_settings.m_probes_per_second, now) {}

bool Steering::IsReady() const {
  return HasRoutesAndServers() && m_directory.Count(ServerState::kReady) > 0;
}

std::optional<base::TimePoint> Steering::NextResendAt() const {
  if (m_resends.empty())
    return std::nullopt;
  return m_resends.front().first;
}

void Steering::SetEvacuated(std::set<base::DataCentreId> evacuated,
                            base::TimePoint now) {
  m_directory.SetEvacuated(std::move(evacuated), now);
  for (const auto& [service, servers] : m_directory.ByService()) {
    const ServiceOptions* options = m_routes.OptionsOf(service);
    if (options == nullptr)
      continue;
    for (KnownServer* server : servers) {
      if (EvacuationEndedAt(server->m_record.m_data_centre) == now)
        server->m_cold_until = now + options->m_warm_up;
    }
  }
}

Decision Steering::Handle(const CallerPacket& packet, base::TimePoint now) {
  const Route* route = m_routes.Find(packet.m_flow.m_service);
  if (!packet.m_is_opening)
    return HandleEstablished(packet, route, now);
  if (!HasRoutesAndServers())
    return {Drop{}, Reason::kNotReady};
  if (route == nullptr && !m_are_routes_current)
    return {Drop{}, Reason::kRouteNotYetKnown};
  if (route == nullptr)
    return Refuse(packet, Reason::kNoRoute);
  if (route->m_services.empty()) {
    Decision unserved{Drop{}, Reason::kNoService};
    unserved.m_route = route;
    return unserved;
  }
  return HandleOpening(packet, *route, now);
}

std::vector<OpeningResend> Steering::PopDueResends(base::TimePoint now) {
  std::vector<OpeningResend> resends;
  while (!m_resends.empty() && m_resends.front().first <= now) {
    const flow::FlowKey key = m_resends.front().second;
    m_resends.pop_front();
    FlowRecord* record = m_tracker.Find(key);
    if (record == nullptr || !record->m_resend_at || *record->m_resend_at > now)
      continue;
    record->m_resend_at.reset();
    const Route* route = m_routes.Find(key.m_service);
    KnownServer* previous_server = m_directory.FindByHandle(record->m_server);
    if (route == nullptr || route->m_services.empty() ||
        previous_server == nullptr)
      continue;
    const base::TimePoint due =
        record->m_request_at + m_settings.m_resend_after;
    const bool is_early = now < due;
    if (is_early && !TakeEarlyCopy(key, *route, *previous_server, now)) {
      ScheduleResend(*record, key, due);
      continue;
    }
    // A handshake that is later than most others is no sign of a failure yet.
    if (!is_early)
      MarkUnansweredSuspected(*record, *previous_server, now);
    CallerPacket opening;
    opening.m_flow = key;
    opening.m_is_opening = true;
    Decision decision = PlaceOpening(opening, *route, previous_server, now);
    if (!std::holds_alternative<Forward>(decision.m_action))
      continue;
    if (is_early) {
      decision.m_extra = ExtraReason::kEarlyCopy;
      record->m_extra = ExtraReason::kEarlyCopy;
    }
    resends.push_back({key, decision});
  }
  return resends;
}

std::vector<const KnownServer*> Steering::StartDueProbes(base::TimePoint now) {
  std::vector<const KnownServer*> due;
  std::vector<ServerHandle> remaining;
  std::vector<ServerHandle> probed;
  for (const ServerHandle handle : m_probe_list) {
    KnownServer* server = m_directory.FindByHandle(handle);
    if (server == nullptr)
      continue;
    if (server->IsGone() || !server->m_reachability.NeedsProbing()) {
      server->m_is_on_probe_list = false;
      continue;
    }
    if (!server->m_reachability.IsProbeDue(now) || !m_probe_budget.Take(now)) {
      remaining.push_back(handle);
      continue;
    }
    server->m_reachability.RecordProbeStart();
    due.push_back(server);
    probed.push_back(handle);
  }
  // Servers that were just probed move to the end of the list, so that the
  // others get the next probes when the budget is exhausted.
  remaining.insert(remaining.end(), probed.begin(), probed.end());
  m_probe_list = std::move(remaining);
  return due;
}

ProbeEffect Steering::RecordProbeResult(ServerHandle handle,
                                        ProbeResult result,
                                        base::TimePoint now,
                                        std::uint64_t received_bytes) {
  KnownServer* server = m_directory.FindByHandle(handle);
  if (server == nullptr)
    return {};
  ServerReachability& reachability = server->m_reachability;
  const bool is_inconclusive =
      reachability.IsInconclusive(result, received_bytes, now);
  if (IsRemote(*server) && result == ProbeResult::kAnswered)
    m_remote_reachability.RecordSign(now);
  if (IsRemote(*server) && result == ProbeResult::kSilent && !is_inconclusive)
    m_remote_reachability.RecordFailedProbe(now);
  const bool is_changed =
      reachability.RecordProbeResult(result, now, received_bytes);
  ServerDirectory::UpdateIndex(*server);
  AddToProbeList(*server);
  return {server, is_changed, is_inconclusive};
}

std::vector<OverdueRequest> Steering::Sweep(base::TimePoint now) {
  auto overdue = m_tracker.Sweep(m_routes.manifest().m_idle_timeout, now);
  m_directory.PurgeGoneServers(now);
  m_denied_flows.Sweep(now);
  m_extra.slow_servers().Sweep(
      [this](ServerHandle server) { return m_directory.FindByHandle(server); },
      now);
  return overdue;
}

Decision Steering::Refuse(const CallerPacket& packet, Reason reason) const {
  Decision decision;
  decision.m_action = Reset{packet.m_acknowledgement};
  decision.m_reason = reason;
  return decision;
}

Decision Steering::HandleOpening(const CallerPacket& packet,
                                 const Route& route,
                                 base::TimePoint now) {
  const FlowRecord* record = m_tracker.Find(packet.m_flow);
  KnownServer* previous_server =
      record == nullptr ? nullptr : m_directory.FindByHandle(record->m_server);
  // A caller that retransmits an opening got no answer to the first.
  const bool is_retransmission =
      previous_server != nullptr && !record->m_is_established;
  if (is_retransmission)
    return PlaceOpening(packet, route, previous_server, now);
  const auto verdict =
      m_admissions.Decide(route.ServiceFor(flow::HashFlow(packet.m_flow)),
                          packet.m_flow, m_random, now);
  Decision decision = verdict && !verdict->IsAdmitted()
                          ? Refuse(packet, Reason::kOverloaded)
                          : PlaceOpening(packet, route, nullptr, now);
  decision.m_route = &route;
  decision.m_admission = verdict;
  return decision;
}

Decision Steering::PlaceOpening(const CallerPacket& packet,
                                const Route& route,
                                KnownServer* previous_server,
                                base::TimePoint now) {
  const std::string& service = route.ServiceFor(flow::HashFlow(packet.m_flow));
  if (previous_server == nullptr)
    m_extra.CountOpening(now);
  const auto placement = ChooseServer(route, service, previous_server, now);
  if (!placement) {
    Decision refusal = Refuse(packet, RefusalReason(service, now));
    refusal.m_route = &route;
    return refusal;
  }
  KnownServer& server = *placement->m_server;
  Decision decision;
  decision.m_route = &route;
  decision.m_server = &server;
  decision.m_candidates = placement->m_candidates;
  decision.m_cost = placement->m_cost;
  // No balancer could forward the flow's packets without a unique token.
  const auto token = m_directory.UniqueTokenOf(server);
  if (!token) {
    decision.m_action = Reset{packet.m_acknowledgement};
    decision.m_reason = Reason::kNoServer;
    m_tracker.RemoveFlow(packet.m_flow);
    return decision;
  }
  decision.m_action = Forward{&server, *token};
  decision.m_reason = server.m_is_evacuated        ? Reason::kPlacedInEvacuated
                      : previous_server == nullptr ? Reason::kPlaced
                      : previous_server == &server ? Reason::kPlacedAgain
                                                   : Reason::kPlacedElsewhere;
  CountPlacement(service, server, previous_server, now);
  RecordPlacement(packet.m_flow, server, previous_server, route, now);
  if (!placement->m_is_trial)
    return decision;
  decision.m_extra = ExtraReason::kTrial;
  if (FlowRecord* record = m_tracker.Find(packet.m_flow))
    record->m_extra = ExtraReason::kTrial;
  return decision;
}

std::optional<Placement> Steering::ChooseServer(const Route& route,
                                                const std::string& service,
                                                KnownServer* previous_server,
                                                base::TimePoint now) {
  const auto& servers = m_directory.ServersOf(service);
  const ServiceOptions* options = m_routes.OptionsOf(service);
  const bool is_cut_off = IsCutOffUnderEvacuation(now);
  m_placer.SetIsCutOff(is_cut_off);
  m_remote_placer.SetIsCutOff(is_cut_off);
  if (previous_server == nullptr) {
    if (const auto trial = PlaceTrial(route, service, options, now))
      return trial;
  }
  // Services without admission by priority have a share of 0, so that no random
  // number is drawn for them.
  const double remote_share = m_admissions.RemoteShareOf(service);
  const bool is_remote = remote_share > 0 && m_random.Unit() < remote_share;
  const OpeningPlacer& placer = is_remote ? m_remote_placer : m_placer;
  const auto sample = m_directory.SampleOf(
      service, {m_settings.m_data_centre, is_remote, is_cut_off}, m_random);
  auto placement = PlaceAmong(placer, route, sample ? *sample : servers,
                              options, previous_server, now);
  // A cold server outside the sample may have budget for an opening.
  if (!placement && sample && !sample->empty())
    placement =
        PlaceAmong(placer, route, servers, options, previous_server, now);
  if (placement)
    return placement;
  // All records may expire at once after the store was unavailable. Servers in
  // evacuated data centres do not count as an alternative.
  const ServiceTotals totals = m_directory.TotalsOf(service);
  if (totals.m_registered_evacuated < totals.m_registered)
    return std::nullopt;
  return PlaceAmong(
      m_placer, route,
      m_directory.ExpiredServersOf(service, now - m_settings.m_expiry_grace),
      options, nullptr, now);
}

void Steering::CountPlacement(const std::string& service,
                              KnownServer& server,
                              const KnownServer* previous_server,
                              base::TimePoint now) {
  const ServiceOptions* options = m_routes.OptionsOf(service);
  if (previous_server == nullptr) {
    ++m_openings[service];
    if (WarmUpBudget::IsLimited(options))
      m_warm_up.RecordFlow(service, now);
  }
  if (previous_server != &server && WarmUpBudget::IsLimited(options) &&
      WarmUpBudget::IsCold(server, *options, now))
    WarmUpBudget::RecordOpening(server.m_warm_up_share);
}

std::optional<Placement> Steering::PlaceAmong(
    const OpeningPlacer& placer,
    const Route& route,
    std::span<KnownServer* const> servers,
    const ServiceOptions* options,
    KnownServer* previous_server,
    base::TimePoint now) {
  std::vector<KnownServer*> permitted;
  if (WarmUpBudget::IsLimited(options)) {
    permitted =
        m_warm_up.Permitted(servers, *options, previous_server, m_random, now);
    servers = permitted;
  }
  auto placement =
      PlaceWithoutSlow(placer, route, servers, previous_server, now);
  if (!placement && previous_server != nullptr)
    placement = m_placer.Place(servers, nullptr, m_random, now);
  return placement;
}

void Steering::RecordPlacement(const flow::FlowKey& flow,
                               KnownServer& server,
                               const KnownServer* previous_server,
                               const Route& route,
                               base::TimePoint now) {
  FlowRecord* record = m_tracker.Find(flow);
  if (previous_server != nullptr && record != nullptr) {
    m_tracker.Reassign(*record, server);
    record->m_last_seen = now;
    ++record->m_resends;
  } else {
    record = m_tracker.RecordOpening(flow, server, route.m_timeout, now);
  }
  if (record == nullptr || record->m_resends >= m_settings.m_maximum_resends)
    return;
  record->m_request_at = now;
  record->m_answerable_at = now;
  ScheduleResend(*record, flow,
                 now + ResendDelay(route, previous_server == nullptr, now));
}

void Steering::ScheduleResend(FlowRecord& record,
                              const flow::FlowKey& flow,
                              base::TimePoint at) {
  record.m_resend_at = at;
  // Early resends are due before resends that were scheduled earlier.
  const auto position = std::ranges::upper_bound(
      m_resends, at, {}, &std::pair<base::TimePoint, flow::FlowKey>::first);
  m_resends.emplace(position, at, flow);
}

KnownServer* Steering::FindServerOf(const CallerPacket& packet) {
  KnownServer* server = m_directory.FindByToken(packet.m_token);
  if (server != nullptr)
    return server;
  const FlowRecord* record = m_tracker.Find(packet.m_flow);
  if (record == nullptr)
    return nullptr;
  server = m_directory.FindByHandle(record->m_server);
  const bool has_token = server != nullptr &&
                         std::ranges::find(server->m_tokens, packet.m_token) !=
                             server->m_tokens.end();
  return has_token ? server : nullptr;
}

Decision Steering::HandleEstablished(const CallerPacket& packet,
                                     const Route* route,
                                     base::TimePoint now) {
  Decision decision;
  decision.m_action = Drop{};
  decision.m_route = route;
  KnownServer* server = FindServerOf(packet);
  if (server == nullptr) {
    decision.m_reason = Reason::kUnknownToken;
    return decision;
  }
  decision.m_server = server;
  decision.m_action = Forward{server, packet.m_token};
  if (route == nullptr) {
    DenyIfOver(packet, *server, decision, now);
    return decision;
  }
  const Observation observation =
      m_tracker.RecordPacket(packet, *server, route->m_timeout, now);
  decision.m_packet_kind = observation.m_packet_kind;
  if (m_admissions.Record(packet.m_flow, *server, observation, now))
    server->m_answer_statistics.RecordRefusal(now);
  UpdateReachability(*server, observation.m_waiting_since, decision, now);
  RecordTimes(packet, observation, *server, now);
  if (packet.m_payload_bytes > 0)
    RecordRequest(packet.m_flow, *server, now);
  if (DenyIfOver(packet, *server, decision, now))
    return decision;
  if (packet.m_payload_bytes > 0 && IsUnreachable(*server, *route)) {
    decision.m_action = Reset{packet.m_acknowledgement};
    decision.m_reason = Reason::kServerUnreachable;
    m_tracker.RemoveFlow(packet.m_flow);
  }
  return decision;
}

void Steering::RecordRequest(const flow::FlowKey& flow,
                             const KnownServer& server,
                             base::TimePoint now) {
  const std::string& service = server.m_record.m_service;
  if (!WarmUpBudget::IsLimited(m_routes.OptionsOf(service)))
    return;
  const FlowRecord* record = m_tracker.Find(flow);
  if (record != nullptr && record->m_is_request_in_progress &&
      !record->m_is_long_request && record->m_request_at == now)
    m_warm_up.RecordRequest(service, now);
}

void Steering::MarkSuspected(KnownServer& server,
                             base::TimePoint waiting_since,
                             base::TimePoint now) {
  server.m_reachability.RecordSuspicion(waiting_since, now);
  AddToProbeList(server);
}

void Steering::AddToProbeList(KnownServer& server) {
  if (server.m_is_on_probe_list || !server.m_reachability.NeedsProbing())
    return;
  server.m_is_on_probe_list = true;
  m_probe_list.push_back(server.m_handle);
}

void Steering::UpdateReachability(KnownServer& server,
                                  base::TimePoint waiting_since,
                                  Decision& decision,
                                  base::TimePoint now) {
  const bool is_answer = decision.m_packet_kind == PacketKind::kAnswer;
  if (!is_answer && decision.m_packet_kind != PacketKind::kRetransmission)
    return;
  decision.m_waited = now - waiting_since;
  if (is_answer) {
    if (IsRemote(server))
      m_remote_reachability.RecordSign(waiting_since);
    if (server.m_reachability.RecordProgress(now)) {
      decision.m_changed_server = &server;
      ServerDirectory::UpdateIndex(server);
    }
    return;
  }
  // Packets of one request that arrive out of order look like a
  // retransmission.
  if (decision.m_waited < m_settings.m_suspect_after) {
    decision.m_packet_kind = PacketKind::kNothingNew;
    return;
  }
  MarkSuspected(server, waiting_since, now);
}

std::optional<Reason> Steering::DenialReason(const CallerPacket& packet,
                                             const KnownServer& server,
                                             const Route* route,
                                             base::TimePoint now) const {
  // Packets without data are forwarded, so that an answer in progress is
  // completed.
  if (packet.m_payload_bytes == 0)
    return std::nullopt;
  // Another balancer may have placed the flow by a manifest that is not known
  // here yet, so the absence of the route alone denies nothing.
  if (route == nullptr && m_routes.WasDropped(packet.m_flow.m_service))
    return Reason::kNoRoute;
  if (HasEnded(server, now))
    return Reason::kServerGone;
  return std::nullopt;
}

bool Steering::DenyIfOver(const CallerPacket& packet,
                          KnownServer& server,
                          Decision& decision,
                          base::TimePoint now) {
  const auto denial = DenialReason(packet, server, decision.m_route, now);
  if (!denial)
    return false;
  const FlowRecord* record = m_tracker.Find(packet.m_flow);
  const base::TimePoint first_seen =
      record != nullptr ? record->m_first_seen
                        : m_denied_flows.FirstSeen(packet.m_flow, now);
  if (!m_view_current_as_of || *m_view_current_as_of < first_seen) {
    decision.m_action = Forward{&server, packet.m_token};
    decision.m_reason = Reason::kDenialNotConfirmed;
    decision.m_needed_as_of = first_seen;
    return true;
  }
  decision.m_action = Reset{packet.m_acknowledgement};
  decision.m_reason = *denial;
  m_tracker.RemoveFlow(packet.m_flow);
  m_denied_flows.Remove(packet.m_flow);
  return true;
}

bool Steering::IsUnreachable(const KnownServer& server, const Route& route) {
  // The server may become reachable again within the caller's time limit. A
  // caller never repeats such a request once its flow is established, so a
  // reset would make the request fail.
  return MayBeRepeated(route.m_kind) && server.m_reachability.IsUnreachable();
}

Reason Steering::RefusalReason(std::string_view service, base::TimePoint now) {
  if (WarmUpBudget::IsLimited(m_routes.OptionsOf(service))) {
    const auto sample = m_directory.SampleOf(
        service,
        {m_settings.m_data_centre, false, IsCutOffUnderEvacuation(now)},
        m_random);
    if (m_placer.Place(sample ? *sample : m_directory.ServersOf(service),
                       nullptr, m_random, now))
      return Reason::kServersCold;
  }
  const ServiceTotals totals = m_directory.TotalsOf(service);
  if (totals.m_ready > 0)
    return totals.m_ready_evacuated == totals.m_ready ? Reason::kEvacuated
                                                      : Reason::kNoServer;
  const auto expired =
      m_directory.ExpiredServersOf(service, now - m_settings.m_expiry_grace);
  return !expired.empty() &&
                 std::ranges::all_of(expired, &KnownServer::m_is_evacuated)
             ? Reason::kEvacuated
             : Reason::kNoServer;
}

bool Steering::HasEnded(const KnownServer& server, base::TimePoint now) const {
  if (!server.IsGone())
    return false;
  const auto progress = server.m_reachability.LastProgress();
  if (progress && *progress > *server.m_gone_since)
    return false;
  const bool drained_first = server.m_record.m_state == ServerState::kDraining;
  return drained_first ||
         now - *server.m_gone_since >= m_settings.m_expiry_grace;
}

}  // namespace steering
