// What the director asks its owner to do with a packet or to note about it.

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
  kUnknownService,
  kUnknownServer,
  kLeaseExpired,
  kNoServer,
  kCrossedAnswer,
  kSwallowedReset,
  kSearchBudget,
  kNotHome,
  kStaleRefusal,
  // A segment of a flow that had the caller's port before.
  kEarlierFlow,
};

inline constexpr base::EnumTable<DropReason, 10> kDropReasonNames = {{
    {DropReason::kUnknownService, "unknown_service"},
    {DropReason::kUnknownServer, "unknown_server"},
    {DropReason::kLeaseExpired, "lease_expired"},
    {DropReason::kNoServer, "no_server"},
    {DropReason::kCrossedAnswer, "crossed_answer"},
    {DropReason::kSwallowedReset, "swallowed_reset"},
    {DropReason::kSearchBudget, "search_budget"},
    {DropReason::kNotHome, "not_home"},
    {DropReason::kStaleRefusal, "stale_refusal"},
    {DropReason::kEarlierFlow, "earlier_flow"},
}};

// Sends the packet at hand to a backend server.
struct ForwardToServer {
  base::Endpoint m_tunnel;
};

// Sends a kept packet to another backend server than before.
struct ResendPacket {
  base::Endpoint m_tunnel;
  // Valid until the next call of the director.
  std::span<const std::uint8_t> m_bytes;
};

// Sends the packet at hand to another balancer.
struct RelayToBalancer {
  base::Endpoint m_balancer;
  RelayContext m_relay;
};

// Sends the packet at hand to the caller it is addressed to.
struct DeliverToCaller {};

// Answers the caller's opening with a refusal.
struct RefuseOpening {};

struct Drop {
  DropReason m_reason;
};

enum class FlowEventKind : std::uint8_t {
  kOpeningSent,
  kAccepted,
  // The first payload of the server that this home has seen. A home sees some
  // of the answers only, so this is a sample.
  kAnswered,
  kRefused,
  kEnded,
  // No server has the flow any more; the caller is told.
  kBroken,
};

// An observation of a flow at its home, for placement and admission.
struct FlowEvent {
  FlowEventKind m_kind;
  base::ServiceId m_service;
  base::BackendServerId m_server;
  // From the first opening to this event.
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

// Makes the effect in place: copying one just made stalls on its narrow writes.
template <typename Kind>
Effects MakeEffects(const Kind& effect) {
  Effects effects;
  effects.emplace_back(effect);
  return effects;
}

}  // namespace flow

#endif  // LIBFLOW_EFFECT_H_
