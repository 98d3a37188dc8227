// Packets from callers. The flow's home decides about openings. Other packets
// go to the server that this balancer or another one knows, or that a probe
// finds.

#include <algorithm>
#include <chrono>
#include <limits>

#include "LibFlow/balancer_set.h"
#include "LibFlow/flow_director.h"
#include "LibFlow/routing_table.h"

namespace flow {

namespace {

// How often a relayed opening is relayed again by balancers that disagree about
// its home, before the balancer that receives the opening decides.
constexpr std::uint8_t kMaximumOpeningHops = 1;

// How long segments of an earlier flow may arrive after the next flow of the
// same caller port was opened.
constexpr auto kLateSegmentLifetime = std::chrono::seconds(10);

// Whether the packet is a copy of the opening of the entry's flow. Networks
// duplicate and delay packets, so a copy may arrive after later packets of the
// caller.
bool IsCopyOfOpening(const FlowEntry& entry, const CallerPacket& packet) {
  if (entry.IsOpen())
    return IsPlausiblePosition(entry.m_position, packet.m_position);
  return entry.m_state != FlowState::kClosing &&
         entry.m_position == packet.m_position;
}

void CountUnanswered(FlowEntry& entry) {
  if (entry.m_unanswered < std::numeric_limits<std::uint8_t>::max())
    ++entry.m_unanswered;
}

}  // namespace

Effects FlowDirector::HandleCallerPacket(const CallerPacket& packet,
                                         base::TimePoint now) {
  if (!IsLeaseValid(now))
    return MakeEffects(Drop{DropReason::kLeaseExpired});
  const ServiceRouting* service =
      m_routing->FindService(packet.m_key.m_service);
  if (service == nullptr)
    return MakeEffects(Drop{DropReason::kUnknownService});

  const PacketContext context{packet.m_key, HashFlow(packet.m_key), *service,
                              now};
  switch (packet.m_kind) {
    case CallerPacketKind::kOpening:
      return DecideOpening(packet, context);
    case CallerPacketKind::kClosing:
    case CallerPacketKind::kAborted:
      return HandleClosing(packet, context);
    case CallerPacketKind::kData:
      break;
  }
  return HandleData(packet, context);
}

Effects FlowDirector::DecideOpening(const CallerPacket& packet,
                                    const PacketContext& context) {
  if (!IsHome(context) && packet.m_relay.m_hops <= kMaximumOpeningHops) {
    const auto hops = static_cast<std::uint8_t>(packet.m_relay.m_hops + 1);
    return RelayToHome(context, {RelayPurpose::kOpening, hops, {}});
  }
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry != nullptr && IsCopyOfOpening(*entry, packet))
    return RepeatOpening(packet, context, *entry);
  return PlaceOpening(packet, context);
}

// Sends a duplicate or a retransmission of an opening to the server that got
// the first copy, or to another one if this server does not answer.
Effects FlowDirector::RepeatOpening(const CallerPacket& packet,
                                    const PacketContext& context,
                                    FlowEntry& entry) {
  PendingOpening* opening = m_openings.Find(context.m_key);
  const bool is_unanswered = entry.m_state == FlowState::kOpening &&
                             opening != nullptr &&
                             context.m_now - opening->m_last_sent >
                                 m_settings.m_opening_answer_timeout;
  // Only the opening was sent so far, so another server may get it too: a
  // caller completes the handshake with one server only.
  if (is_unanswered && m_settings.m_mechanisms.m_reopen_on_refusal) {
    Effects effects = ResendToAnotherServer(context, entry, *opening,
                                            OpeningReason::kUnanswered);
    if (!effects.empty())
      return effects;
  }
  const RoutedServer* server = FindUsableServer(context, entry.m_server);
  if (server == nullptr)
    return PlaceOpening(packet, context);
  return MakeEffects(ForwardToServer{server->m_tunnel});
}

Effects FlowDirector::PlaceOpening(const CallerPacket& packet,
                                   const PacketContext& context) {
  Effects effects;
  if (FlowEntry* former = m_flows.Find(context.m_key, context.m_hash)) {
    RecordEnd(*former, context.m_service.id(), effects);
    m_flows.Erase(context.m_key, context.m_hash);
  }
  const RoutedServer* server =
      ChooseServer(context, nullptr, OpeningReason::kReceived);
  if (server == nullptr) {
    effects.push_back(RefuseOpening{});
    return effects;
  }
  FlowEntry& entry = InsertEntry(context);
  entry.m_server = server->m_id;
  entry.m_state = FlowState::kOpening;
  entry.m_position = packet.m_position;
  entry.m_is_counted = true;
  PendingOpening* opening =
      m_openings.Insert(context.m_key, packet.m_bytes, context.m_now);
  if (opening != nullptr)
    opening->m_tried.push_back(server->m_id);
  effects.push_back(ForwardToServer{server->m_tunnel});
  effects.push_back(FlowEvent{FlowEventKind::kOpeningSent,
                              context.m_service.id(), server->m_id,
                              base::Duration::zero()});
  return effects;
}

const RoutedServer* FlowDirector::ChooseServer(const PacketContext& context,
                                               const PendingOpening* opening,
                                               OpeningReason reason) {
  ServerOrder order;
  for (const RoutedServer* server :
       context.m_service.OrderFor(context.m_hash)) {
    const bool may_open = server->m_state == RoutedServerState::kActive &&
                          server->m_usable_from <= context.m_now;
    if (may_open && (opening == nullptr || !opening->WasTried(server->m_id)))
      order.push_back(server);
  }
  if (order.empty())
    return nullptr;
  const base::Duration elapsed = opening == nullptr
                                     ? base::Duration::zero()
                                     : context.m_now - opening->m_first_sent;
  return m_chooser(context.m_service, order, {reason, elapsed});
}

Effects FlowDirector::HandleClosing(const CallerPacket& packet,
                                    const PacketContext& context) {
  const KnownFlow known = FindKnownFlow(context, packet.m_position);
  FlowEntry* entry = known.m_entry;
  if (packet.m_relay.m_purpose == RelayPurpose::kNone && !IsHome(context)) {
    RelayContext relay{RelayPurpose::kClosing, 0, {}};
    if (entry != nullptr) {
      relay.m_known_server = known.m_server->m_tunnel.m_address;
      entry->m_state = FlowState::kClosing;
    }
    return RelayToHome(context, relay);
  }
  if (entry == nullptr)
    return HandleData(packet, context);
  if (entry->m_state == FlowState::kProbing)
    return HandleClosingOfProbe(packet, context, known);
  return CloseKnown(packet, context, known);
}

// A probe's candidate is not known to have the flow. If the answers of the
// servers are lost, the probe never finds the server, and an abort that only
// the candidate gets leaves the flow open at its server.
Effects FlowDirector::HandleClosingOfProbe(const CallerPacket& packet,
                                           const PacketContext& context,
                                           KnownFlow known) {
  const RoutedServer* server = FindRelayedServer(packet, context);
  if (server != nullptr) {
    known.m_entry->m_server = server->m_id;
    known.m_entry->m_state = FlowState::kEstablished;
    m_probes.Erase(context.m_key);
    return CloseKnown(packet, context, {known.m_entry, server});
  }
  // Another balancer may have learned the server since the probe started.
  const RelayPurpose purpose = packet.m_relay.m_purpose;
  const bool can_search =
      packet.m_kind == CallerPacketKind::kAborted &&
      (purpose == RelayPurpose::kNone || purpose == RelayPurpose::kClosing);
  const auto target = can_search && m_settings.m_mechanisms.m_relay_to_home
                          ? m_balancers->SearchTarget(context.m_hash, 0)
                          : std::nullopt;
  if (target && m_search_budget.Take(context.m_now))
    return MakeEffects(
        RelayToBalancer{target->m_traffic, {RelayPurpose::kSearch, 0, {}}});
  return CloseKnown(packet, context, known);
}

Effects FlowDirector::CloseKnown(const CallerPacket& packet,
                                 const PacketContext& context,
                                 KnownFlow known) {
  FlowEntry* entry = known.m_entry;
  entry->m_is_closed_by_caller = true;
  const bool has_ended = packet.m_kind == CallerPacketKind::kAborted ||
                         entry->m_is_closed_by_server;
  if (has_ended)
    entry->m_state = FlowState::kClosing;
  // ForwardKnown may erase the entry of a probe, but not the entry of a closing
  // flow, so the entry is valid below.
  Effects effects = ForwardKnown(packet, context, known);
  if (has_ended)
    RecordEnd(*entry, context.m_service.id(), effects);
  return effects;
}

Effects FlowDirector::HandleData(const CallerPacket& packet,
                                 const PacketContext& context) {
  const KnownFlow known = FindKnownFlow(context, packet.m_position);
  const bool is_direct = packet.m_relay.m_purpose == RelayPurpose::kNone;
  const bool needs_home =
      known.m_entry == nullptr ||
      known.m_entry->m_unanswered >= m_settings.m_unanswered_limit;
  if (is_direct && needs_home && !IsHome(context))
    return RelayToHome(context, {RelayPurpose::kHomeLookup, 0, {}});
  if (known.m_entry != nullptr)
    return ForwardKnown(packet, context, known);
  if (packet.m_relay.m_purpose == RelayPurpose::kNotFound) {
    // The next flow may have been opened here during the search.
    return IsLateSegment(context) ? MakeEffects(Drop{DropReason::kEarlierFlow})
                                  : Probe(packet, context);
  }

  // A relayed closing packet names the server that the relaying balancer knew.
  const RoutedServer* server = FindRelayedServer(packet, context);
  if (server != nullptr)
    return MakeEffects(ForwardToServer{server->m_tunnel});
  return Search(packet, context);
}

const RoutedServer* FlowDirector::FindRelayedServer(
    const CallerPacket& packet,
    const PacketContext& context) const {
  const AddressOwner* owner =
      m_routing->FindServerAt(packet.m_relay.m_known_server);
  if (owner == nullptr || owner->m_service != context.m_service.id())
    return nullptr;
  return FindUsableServer(context, owner->m_server);
}

Effects FlowDirector::ForwardKnown(const CallerPacket& packet,
                                   const PacketContext& context,
                                   KnownFlow known) {
  FlowEntry& entry = *known.m_entry;
  if (entry.m_state == FlowState::kProbing)
    return ForwardProbe(packet, context, entry);
  CountUnanswered(entry);
  entry.m_last_seen_ms = m_flows.Milliseconds(context.m_now);
  entry.m_position = packet.m_position;
  return MakeEffects(ForwardToServer{known.m_server->m_tunnel});
}

Effects FlowDirector::ForwardProbe(const CallerPacket& packet,
                                   const PacketContext& context,
                                   FlowEntry& entry) {
  const bool is_unanswered =
      entry.m_unanswered >= m_settings.m_unanswered_limit &&
      m_flows.Milliseconds(context.m_now) - entry.m_last_seen_ms >
          std::chrono::duration_cast<std::chrono::milliseconds>(
              m_settings.m_probe_answer_timeout)
              .count();
  // After a probe was given up, the next search starts a new probe.
  if (is_unanswered && !AdvanceProbe(context, entry)) {
    m_flows.Erase(context.m_key, context.m_hash);
    return MakeEffects(Drop{DropReason::kNoServer});
  }
  const RoutedServer* server = FindUsableServer(context, entry.m_server);
  CountUnanswered(entry);
  // m_last_seen_ms stays the time when this candidate's turn started, from
  // which the timeout counts.
  if (PendingProbe* probe = m_probes.Find(context.m_key)) {
    probe->m_packet.assign(packet.m_bytes.begin(), packet.m_bytes.end());
    probe->m_acknowledged = packet.m_acknowledged;
  }
  entry.m_position = packet.m_position;
  return MakeEffects(ForwardToServer{server->m_tunnel});
}

Effects FlowDirector::Search(const CallerPacket& packet,
                             const PacketContext& context) {
  if (IsLateSegment(context))
    return MakeEffects(Drop{DropReason::kEarlierFlow});
  if (!m_settings.m_mechanisms.m_relay_to_home)
    return Probe(packet, context);
  const bool is_first = packet.m_relay.m_purpose != RelayPurpose::kSearch;
  if (is_first && !m_search_budget.Take(context.m_now))
    return MakeEffects(Drop{DropReason::kSearchBudget});

  const std::size_t hops =
      is_first ? 0 : packet.m_relay.m_hops + std::size_t{1};
  const auto target = hops < m_settings.m_search_hops
                          ? m_balancers->SearchTarget(context.m_hash, hops)
                          : std::nullopt;
  if (target && target->m_id != m_balancers->self())
    return MakeEffects(RelayToBalancer{
        target->m_traffic,
        {RelayPurpose::kSearch, static_cast<std::uint8_t>(hops), {}}});
  if (is_first || m_balancers->IsHome(context.m_hash))
    return Probe(packet, context);
  return RelayToHome(context, {RelayPurpose::kNotFound, 0, {}});
}

Effects FlowDirector::Probe(const CallerPacket& packet,
                            const PacketContext& context) {
  if (!m_settings.m_mechanisms.m_probe) {
    const RoutedServer* server =
        context.m_service.PreferredServer(context.m_hash);
    if (server == nullptr)
      return MakeEffects(Drop{DropReason::kNoServer});
    return MakeEffects(ForwardToServer{server->m_tunnel});
  }
  if (m_probes.Insert(context.m_key, context.m_now) == nullptr)
    return MakeEffects(Drop{DropReason::kSearchBudget});
  FlowEntry& entry = InsertEntry(context);
  entry.m_server = {};
  entry.m_state = FlowState::kProbing;
  entry.m_position = packet.m_position;
  if (!AdvanceProbe(context, entry)) {
    m_flows.Erase(context.m_key, context.m_hash);
    return MakeEffects(Drop{DropReason::kNoServer});
  }
  return ForwardProbe(packet, context, entry);
}

// Whether a packet that does not fit the entry of its key is a late segment of
// an earlier flow: this balancer is the home, opened the flow of the entry and
// has seen it within kLateSegmentLifetime. A probe for the packet would replace
// the entry.
bool FlowDirector::IsLateSegment(const PacketContext& context) {
  if (!IsHome(context))
    return false;
  const FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry == nullptr || !entry->m_is_counted)
    return false;
  const std::chrono::milliseconds since_seen(
      m_flows.Milliseconds(context.m_now) - entry->m_last_seen_ms);
  return since_seen < kLateSegmentLifetime;
}

PendingProbe* FlowDirector::StartProbe(const PacketContext& context) {
  if (!m_search_budget.Take(context.m_now))
    return nullptr;
  return m_probes.Insert(context.m_key, context.m_now);
}

bool FlowDirector::AdvanceProbe(const PacketContext& context,
                                FlowEntry& entry) {
  const PendingProbe* probe = m_probes.Find(context.m_key);
  if (probe == nullptr)
    return false;
  const ServerOrder order = context.m_service.OrderFor(context.m_hash);
  const auto current = std::find_if(order.begin(), order.end(),
                                    [&entry](const RoutedServer* server) {
                                      return server->m_id == entry.m_server;
                                    });
  const std::size_t start =
      current == order.end()
          ? 0
          : static_cast<std::size_t>(current - order.begin()) + 1;
  for (std::size_t step = 0; step < order.size(); ++step) {
    const RoutedServer* server = order[(start + step) % order.size()];
    if (server->m_usable_from > context.m_now || probe->HasDenied(server->m_id))
      continue;
    entry.m_server = server->m_id;
    entry.m_unanswered = 0;
    entry.m_last_seen_ms = m_flows.Milliseconds(context.m_now);
    return true;
  }
  return false;
}

FlowDirector::KnownFlow FlowDirector::FindKnownFlow(
    const PacketContext& context,
    std::uint32_t position) {
  FlowEntry* entry = m_flows.Find(context.m_key, context.m_hash);
  if (entry == nullptr)
    return {};
  // A probe's candidate is not known to have the flow. Once the flow has
  // another home, only the probe of that home counts.
  if (entry->m_state == FlowState::kProbing && !IsHome(context))
    return {};
  const RoutedServer* server = FindUsableServer(context, entry->m_server);
  if (server == nullptr) {
    // The service no longer has the server, for example because the server's
    // address belongs to another service now.
    RecordEviction(*entry);
    m_flows.Erase(context.m_key, context.m_hash);
    return {};
  }
  if (!IsPlausiblePosition(entry->m_position, position))
    return {};
  return {entry, server};
}

const RoutedServer* FlowDirector::FindUsableServer(
    const PacketContext& context,
    base::BackendServerId id) const {
  const RoutedServer* server = context.m_service.FindServer(id);
  if (server == nullptr || server->m_usable_from > context.m_now)
    return nullptr;
  return server;
}

}  // namespace flow
