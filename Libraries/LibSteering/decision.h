// What is done with a caller's packet, and what decided it.

#ifndef LIBSTEERING_DECISION_H_
#define LIBSTEERING_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/known_server.h"
#include "LibSteering/route.h"

namespace steering {

enum class Reason {
  kPlaced,
  // A copy of an opening goes where the opening went.
  kPlacedAgain,
  // A copy of an opening goes to another server.
  kPlacedElsewhere,
  kTokenFollowed,
  kNoRoute,
  kRouteNotYetKnown,
  kNoServer,
  kUnknownToken,
  kServerGone,
  kServerUnreachable,
  kNotReady,
};

inline constexpr base::EnumTable<Reason, 11> kReasonNames{{
    {Reason::kPlaced, "placed"},
    {Reason::kPlacedAgain, "placed_again"},
    {Reason::kPlacedElsewhere, "placed_elsewhere"},
    {Reason::kTokenFollowed, "token_followed"},
    {Reason::kNoRoute, "no_route"},
    {Reason::kRouteNotYetKnown, "route_not_yet_known"},
    {Reason::kNoServer, "no_server"},
    {Reason::kUnknownToken, "unknown_token"},
    {Reason::kServerGone, "server_gone"},
    {Reason::kServerUnreachable, "server_unreachable"},
    {Reason::kNotReady, "not_ready"},
}};

// The packet goes to `m_server` with `m_token` in it.
struct Forward {
  KnownServer* m_server = nullptr;
  FlowToken m_token;
};

// The caller gets a reset that it accepts at `m_sequence`.
struct Reset {
  std::uint32_t m_sequence = 0;
};

struct Drop {};

using Action = std::variant<Forward, Reset, Drop>;

struct Decision {
  Action m_action;
  Reason m_reason = Reason::kTokenFollowed;
  // Null if none has the packet's address. Valid until the next manifest.
  const Route* m_route = nullptr;
  // The server that was weighed or chosen; null if none.
  const KnownServer* m_server = nullptr;
  // Of a placement.
  std::size_t m_candidates = 0;
  double m_cost = 0;
  // Of a packet of an open flow.
  PacketKind m_packet_kind = PacketKind::kNothingNew;
  // How long the caller has waited for what it repeats or now got.
  base::Duration m_waited{};
  // The server whose reachability is judged otherwise since this packet; null
  // if none.
  const KnownServer* m_changed_server = nullptr;
};

// An opening that went unanswered goes to another server as well.
struct OpeningResend {
  flow::FlowKey m_flow;
  Decision m_decision;
};

}  // namespace steering

#endif  // LIBSTEERING_DECISION_H_
