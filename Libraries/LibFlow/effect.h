// The effects that the director returns to its owner for a packet: actions on
// packets and events of flows.

#ifndef LIBFLOW_EFFECT_H_
#define LIBFLOW_EFFECT_H_

#include <cstdint>
#include <span>
#include <type_traits>
#include <variant>

#include <boost/container/static_vector.hpp>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibFlow/flow_packet.h"

namespace flow {

enum class DropReason : std::uint8_t {
  // No service of the configuration has the packet's service address.
  kUnknownService,
  // The configuration lease has expired, so no packet from a caller is
  // forwarded.
  kLeaseExpired,
  // No candidate server is left to probe, or probes are off and the flow's
  // preferred server is not active.
  kNoServer,
  // An answer from another server than the one that has the flow.
  kCrossedAnswer,
  // A reset from a server without the flow, while another server may have it.
  kSwallowedReset,
  // The rate of searches and probes or the number of probes in progress has
  // reached its limit.
  kSearchBudget,
  // A refusal that does not come from the server that has the opening, or that
  // comes after an acceptance.
  kStaleRefusal,
  // A segment of an earlier flow of the same caller port.
  kEarlierFlow,
};

inline constexpr base::EnumTable<DropReason, 8> kDropReasonNames = {{
    {DropReason::kUnknownService, "unknown_service"},
    {DropReason::kLeaseExpired, "lease_expired"},
    {DropReason::kNoServer, "no_server"},
    {DropReason::kCrossedAnswer, "crossed_answer"},
    {DropReason::kSwallowedReset, "swallowed_reset"},
    {DropReason::kSearchBudget, "search_budget"},
    {DropReason::kStaleRefusal, "stale_refusal"},
    {DropReason::kEarlierFlow, "earlier_flow"},
}};

// Sends the current packet to a backend server.
struct ForwardToServer {
  // The server's endpoint for tunnelled packets.
  base::Endpoint m_tunnel;
};

// Sends a stored packet to another backend server than before.
struct ResendPacket {
  // The server's endpoint for tunnelled packets.
  base::Endpoint m_tunnel;
  // Valid until the next call of the director.
  std::span<const std::uint8_t> m_bytes;
};

// Sends the current packet to another balancer.
struct RelayToBalancer {
  base::Endpoint m_balancer;
  RelayContext m_relay;
};

// Sends the current packet to the caller to which it is addressed.
struct DeliverToCaller {};

// Answers the caller's opening with a refusal.
struct RefuseOpening {};

struct Drop {
  DropReason m_reason;
};

enum class FlowEventKind : std::uint8_t {
  // The home sent the opening to the server.
  kOpeningSent,
  // The server accepted the opening.
  kAccepted,
  // The home saw the first payload of the server. A home sees only some of the
  // answers, so these events are a sample.
  kAnswered,
  // The server refused the opening, or did not answer in time and another
  // server
  // got the opening.
  kRefused,
  // The flow no longer counts as open on the server.
  kEnded,
  // No server has the flow any more; the caller gets a reset.
  kBroken,
};

// An event of a flow at its home, reported to placement and admission.
struct FlowEvent {
  FlowEventKind m_kind;
  base::ServiceId m_service;
  base::BackendServerId m_server;
  // Time from first sending the opening to this event. Set for kAccepted and
  // kAnswered only.
  base::Duration m_elapsed;
};

using Effect = std::variant<ForwardToServer,
                            ResendPacket,
                            RelayToBalancer,
                            DeliverToCaller,
                            RefuseOpening,
                            Drop,
                            FlowEvent>;

inline constexpr std::size_t kMaximumEffects = 4;
using Effects = boost::container::static_vector<Effect, kMaximumEffects>;

// Effects are copied for each packet.
static_assert(std::is_trivially_copyable_v<Effect>);

// Constructs the effect in place: copying a newly constructed effect stalls the
// processor on its narrow writes.
template <typename Kind>
Effects MakeEffects(const Kind& effect) {
  Effects effects;
  effects.emplace_back(effect);
  return effects;
}

}  // namespace flow

#endif  // LIBFLOW_EFFECT_H_
