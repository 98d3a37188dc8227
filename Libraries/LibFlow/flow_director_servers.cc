// Packets from servers. The director updates the flow's entry and decides
// whether the caller gets the packet.

#include <chrono>

#include "LibFlow/balancer_set.h"
#include "LibFlow/flow_director.h"
#include "LibFlow/routing_table.h"

namespace flow {

namespace {

// Whether another server may have the flow although the entry's server denies
// the flow: the caller may have completed the handshake with a server that was
// tried earlier, or the entry was learned from an earlier flow of the caller's
// port.
bool MayBeOnAnotherServer(const FlowEntry& entry) {
  switch (entry.m_state) {
    case FlowState::kOpening:
    case FlowState::kAccepted:
    case FlowState::kClosing:
      return true;
    case FlowState::kEstablished:
      return !entry.m_is_counted;
    case FlowState::kFree:
    case FlowState::kProbing:
      break;
  }
  return false;
}

// Whether the answer can only belong to an earlier flow of the caller's port:
// the entry's position comes from the caller, and the caller has sent nothing
// near the acknowledged position.
bool IsFromEarlierFlow(const FlowEntry& entry, const ServerPacket& packet) {
  const bool is_undecided = entry.m_state == FlowState::kOpening ||
                            entry.m_state == FlowState::kAccepted ||
                            entry.m_state == FlowState::kProbing;
  return is_undecided &&
         !IsPlausiblePosition(entry.m_position, packet.m_position);
}

// Whether the answer acknowledges what the caller sent after the opening, while
// the server of the entry has only accepted the opening. Balancers that
// disagreed about the home have then placed two copies of the opening, and the
// caller has chosen the other server.
bool IsChosenByCaller(const FlowEntry& entry, const ServerPacket& packet) {
  const std::uint32_t beyond_opening =
      packet.m_position - (entry.m_position + 1);
  return entry.m_state == FlowState::kAccepted && beyond_opening != 0 &&
         beyond_opening < kPlausibleDistance;
}

bool IsServerKnown(const FlowEntry& entry) {
  return entry.IsOpen() || entry.m_state == FlowState::kClosing;
}

// Whether an answer of `server` (null if unknown) belongs to no flow of the
// caller, because another server is known to have the flow.
bool IsFromOtherServer(const FlowEntry& entry,
                       base::BackendServerId server,
                       const ServerPacket& packet) {
  const bool is_chosen =
      server != base::BackendServerId() && IsChosenByCaller(entry, packet);
  return entry.m_server != server && IsServerKnown(entry) && !is_chosen;
}

}  // namespace

Effects FlowDirector::HandleServerPacket(const ServerPacket& packet,
                                         base::TimePoint now) {
  const ServiceRouting* service =
      m_routing->FindService(packet.m_key.m_service);
  if (service == nullptr)
    return MakeEffects(Drop{DropReason::kUnknownService});

  const PacketContext context{packet.m_key, HashFlow(packet.m_key), *service,
                              now};
  if (packet.m_kind == ServerPacketKind::kData)
    return HandleAnswer(packet, context);

  // The home counts the flow, so it must see all other packets.
  if (!IsHome(context) && packet.m_relay.m_purpose == RelayPurpose::kNone) {
    RecordEndAtNonHome(packet, context);
    return RelayToHome(context, {RelayPurpose::kAnswer, 0, packet.m_server});
  }
  switch (packet.m_kind) {
    case ServerPacketKind::kAccepted:
      return HandleAccepted(packet, context);
    case ServerPacketKind::kRefused:
      return HandleRefused(packet, context);
    case ServerPacketKind::kNoSuchFlow:
      return HandleNoSuchFlow(packet, context);
    case ServerPacketKind::kClosing:
    case ServerPacketKind::kAborted:
      return HandleServerClosing(packet, context);
    case ServerPacketKind::kData:
      break;
  }
  return HandleAnswer(packet, context);
}

// Updates the entry at the end of a flow on a balancer that is not the home.
void FlowDirector::RecordEndAtNonHome(const ServerPacket& packet,
                                      const PacketContext& context) {
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry == nullptr ||
      entry->m_server != IdentifyServer(packet, context.m_service))
    return;
  switch (packet.m_kind) {
    case ServerPacketKind::kNoSuchFlow:
      // The entry may belong to an earlier flow of the caller's port. Without
      // the entry, the next packet is relayed to the home.
      m_flows.Erase(context.m_key, context.m_hash);
      break;
    case ServerPacketKind::kRefused:
    case ServerPacketKind::kClosing:
    case ServerPacketKind::kAborted:
      entry->m_state = FlowState::kClosing;
      break;
    case ServerPacketKind::kAccepted:
    case ServerPacketKind::kData:
      break;
  }
}

// Returns the null id if this balancer's configuration does not assign the
// server to the service. Answers of such a server are delivered, but the
// director learns nothing from them.
base::BackendServerId FlowDirector::IdentifyServer(
    const ServerPacket& packet,
    const ServiceRouting& service) const {
  const AddressOwner* owner = m_routing->FindServerAt(packet.m_server);
  if (owner == nullptr || owner->m_service != service.id())
    return {};
  return owner->m_server;
}

Effects FlowDirector::HandleAccepted(const ServerPacket& packet,
                                     const PacketContext& context) {
  const auto server = IdentifyServer(packet, context.m_service);
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry == nullptr) {
    if (server == base::BackendServerId())
      return MakeEffects(DeliverToCaller{});
    FlowEntry& learned = InsertEntry(context);
    learned.m_server = server;
    learned.m_state = FlowState::kAccepted;
    learned.m_position = packet.m_position;
    return MakeEffects(DeliverToCaller{});
  }
  if (IsFromEarlierFlow(*entry, packet))
    return MakeEffects(DeliverToCaller{});
  // A probe's candidate is not known to have the flow; the server that accepts
  // has it.
  if (entry->m_state == FlowState::kProbing &&
      server != base::BackendServerId()) {
    entry->m_server = server;
    entry->m_state = FlowState::kAccepted;
    m_probes.Erase(context.m_key);
  }
  // A server that was tried earlier answers late. The caller gets answers only
  // from the flow's present server.
  if (entry->m_server != server)
    return MakeEffects(Drop{DropReason::kCrossedAnswer});

  Effects effects = MakeEffects(DeliverToCaller{});
  entry->m_unanswered = 0;
  entry->m_last_seen_ms = m_flows.Milliseconds(context.m_now);
  if (entry->m_state != FlowState::kOpening)
    return effects;
  entry->m_state = FlowState::kAccepted;
  PendingOpening* opening = m_openings.Find(context.m_key);
  const auto elapsed = opening == nullptr
                           ? base::Duration::zero()
                           : context.m_now - opening->m_first_sent;
  if (opening != nullptr)
    opening->m_answer_start = packet.m_server_position + 1;
  effects.push_back(FlowEvent{FlowEventKind::kAccepted, context.m_service.id(),
                              server, elapsed});
  return effects;
}

Effects FlowDirector::HandleRefused(const ServerPacket& packet,
                                    const PacketContext& context) {
  const auto server = IdentifyServer(packet, context.m_service);
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry == nullptr)
    return MakeEffects(DeliverToCaller{});
  if (entry->m_server != server || entry->m_state != FlowState::kOpening)
    return MakeEffects(Drop{DropReason::kStaleRefusal});

  PendingOpening* opening = m_openings.Find(context.m_key);
  if (opening != nullptr && m_settings.m_mechanisms.m_reopen_on_refusal) {
    Effects effects = ResendToAnotherServer(context, *entry, *opening,
                                            OpeningReason::kRefused);
    if (!effects.empty())
      return effects;
  }
  Effects effects = MakeEffects(DeliverToCaller{});
  effects.push_back(FlowEvent{FlowEventKind::kRefused, context.m_service.id(),
                              entry->m_server, base::Duration::zero()});
  m_openings.Erase(context.m_key);
  m_flows.Erase(context.m_key, context.m_hash);
  return effects;
}

// Returns no effects if no other server may get the opening.
Effects FlowDirector::ResendToAnotherServer(const PacketContext& context,
                                            FlowEntry& entry,
                                            PendingOpening& opening,
                                            OpeningReason reason) {
  const bool can_resend = IsLeaseValid(context.m_now) &&
                          !opening.m_bytes.empty() &&
                          opening.m_tried.size() < kMaximumAttempts;
  if (!can_resend)
    return {};
  const RoutedServer* next = ChooseServer(context, &opening, reason);
  if (next == nullptr)
    return {};
  Effects effects;
  effects.push_back(FlowEvent{FlowEventKind::kRefused, context.m_service.id(),
                              entry.m_server, base::Duration::zero()});
  entry.m_server = next->m_id;
  opening.m_tried.push_back(next->m_id);
  opening.m_last_sent = context.m_now;
  effects.push_back(ResendPacket{next->m_tunnel, opening.m_bytes});
  effects.push_back(FlowEvent{FlowEventKind::kOpeningSent,
                              context.m_service.id(), next->m_id,
                              base::Duration::zero()});
  return effects;
}

Effects FlowDirector::HandleNoSuchFlow(const ServerPacket& packet,
                                       const PacketContext& context) {
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  const auto server = IdentifyServer(packet, context.m_service);
  if (!m_settings.m_mechanisms.m_probe)
    return MakeEffects(DeliverToCaller{});
  if (entry == nullptr)
    return MakeEffects(Drop{DropReason::kSwallowedReset});

  Effects effects;
  const bool may_be_on_another_server =
      entry->m_server == server && MayBeOnAnotherServer(*entry);
  if (may_be_on_another_server) {
    PendingProbe* probe = StartProbe(context);
    if (probe == nullptr)
      return MakeEffects(Drop{DropReason::kSearchBudget});
    probe->m_had_flow_ended = entry->m_state == FlowState::kClosing;
    RecordEnd(*entry, context.m_service.id(), effects);
    entry->m_state = FlowState::kProbing;
    m_openings.Erase(context.m_key);
  }
  PendingProbe* probe = m_probes.Find(context.m_key);
  const bool is_probing =
      entry->m_state == FlowState::kProbing && probe != nullptr;
  // The reset that starts a probe may be late, so its server stays a candidate,
  // which the probe tries after the others.
  if (is_probing && !may_be_on_another_server) {
    if (probe->m_acknowledged != packet.m_position)
      return MakeEffects(Drop{DropReason::kSwallowedReset});
    probe->AddDenial(server);
  }
  if (entry->m_server != server) {
    effects.push_back(Drop{DropReason::kSwallowedReset});
    return effects;
  }
  if (is_probing && AdvanceProbe(context, *entry)) {
    const RoutedServer* next = FindUsableServer(context, entry->m_server);
    if (!probe->m_packet.empty() && IsLeaseValid(context.m_now))
      effects.push_back(ResendPacket{next->m_tunnel, probe->m_packet});
    effects.push_back(Drop{DropReason::kSwallowedReset});
    return effects;
  }
  // No server has the flow, so the caller gets this reset. If the flow had
  // already ended, the reset only answers a late segment of the caller.
  const bool is_broken = probe == nullptr || !probe->m_had_flow_ended;
  RecordEnd(*entry, context.m_service.id(), effects);
  if (is_broken)
    effects.push_back(FlowEvent{FlowEventKind::kBroken, context.m_service.id(),
                                server, base::Duration::zero()});
  m_probes.Erase(context.m_key);
  m_flows.Erase(context.m_key, context.m_hash);
  effects.push_back(DeliverToCaller{});
  return effects;
}

Effects FlowDirector::HandleServerClosing(const ServerPacket& packet,
                                          const PacketContext& context) {
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry == nullptr)
    return MakeEffects(DeliverToCaller{});
  const auto server = IdentifyServer(packet, context.m_service);
  if (IsFromOtherServer(*entry, server, packet))
    return MakeEffects(Drop{DropReason::kCrossedAnswer});
  Effects effects = MakeEffects(DeliverToCaller{});
  if (entry->m_server != server) {
    if (!IsServerKnown(*entry))
      return effects;
    RecordEnd(*entry, context.m_service.id(), effects);
    entry->m_server = server;
    entry->m_state = FlowState::kEstablished;
  }
  entry->m_unanswered = 0;
  entry->m_is_closed_by_server = true;
  const bool has_ended = packet.m_kind == ServerPacketKind::kAborted ||
                         entry->m_is_closed_by_caller;
  if (has_ended) {
    entry->m_state = FlowState::kClosing;
    RecordEnd(*entry, context.m_service.id(), effects);
  }
  return effects;
}

Effects FlowDirector::HandleAnswer(const ServerPacket& packet,
                                   const PacketContext& context) {
  const auto server = IdentifyServer(packet, context.m_service);
  if (server == base::BackendServerId())
    return MakeEffects(DeliverToCaller{});
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  const bool is_conflict = entry != nullptr && entry->m_server != server;
  const bool is_direct = packet.m_relay.m_purpose == RelayPurpose::kNone;
  if (is_conflict && is_direct && !IsHome(context)) {
    // Two servers answer for one flow; the home decides which one has it.
    m_flows.Erase(context.m_key, context.m_hash);
    return RelayToHome(context, {RelayPurpose::kAnswer, 0, packet.m_server});
  }
  if (entry != nullptr && IsFromOtherServer(*entry, server, packet))
    return MakeEffects(Drop{DropReason::kCrossedAnswer});
  if (entry != nullptr && IsFromEarlierFlow(*entry, packet))
    return MakeEffects(DeliverToCaller{});
  if (entry == nullptr && !m_settings.m_mechanisms.m_learn_from_answers)
    return MakeEffects(DeliverToCaller{});

  if (entry == nullptr)
    entry = &InsertEntry(context);
  Effects effects = MakeEffects(DeliverToCaller{});
  if (is_conflict)
    RecordEnd(*entry, context.m_service.id(), effects);
  if (entry->m_state == FlowState::kProbing)
    m_probes.Erase(context.m_key);
  entry->m_server = server;
  if (entry->m_state != FlowState::kClosing)
    entry->m_state = FlowState::kEstablished;
  entry->m_unanswered = 0;
  entry->m_position = packet.m_position;
  entry->m_last_seen_ms = m_flows.Milliseconds(context.m_now);
  RecordFirstAnswer(packet, context, *entry, effects);
  return effects;
}

// Only the packet that starts the answer shows how long the caller waited. The
// home may not see this packet and must not use a later one instead.
void FlowDirector::RecordFirstAnswer(const ServerPacket& packet,
                                     const PacketContext& context,
                                     FlowEntry& entry,
                                     Effects& effects) {
  if (!packet.m_has_payload || !entry.m_is_counted || entry.m_is_answered)
    return;
  entry.m_is_answered = true;
  const PendingOpening* opening = m_openings.Find(context.m_key);
  if (opening != nullptr && opening->m_answer_start == packet.m_server_position)
    effects.push_back(FlowEvent{FlowEventKind::kAnswered,
                                context.m_service.id(), entry.m_server,
                                context.m_now - opening->m_first_sent});
  m_openings.Erase(context.m_key);
}

}  // namespace flow
