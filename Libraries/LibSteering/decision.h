// The decision about a caller's packet: the action, its reason and the data
// for logs and metrics.

#ifndef LIBSTEERING_DECISION_H_
#define LIBSTEERING_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

#include "LibAdmission/admission_verdict.h"
#include "LibBase/enum_table.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibSteering/extra_reason.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/known_server.h"
#include "LibSteering/route.h"

namespace steering {

enum class Reason {
  // An opening was placed for the first time.
  kPlaced,
  // A retransmitted or resent opening goes to the same server as before.
  kPlacedAgain,
  // A retransmitted or resent opening goes to another server than before.
  kPlacedElsewhere,
  // An opening goes to a server in an evacuated data centre, because the
  // balancer is cut off from the store and from all other data centres.
  kPlacedInEvacuated,
  // A packet of an established flow goes to the server that its token
  // identifies.
  kTokenFollowed,
  // No route has the packet's address, and the routes in force are the newest.
  kNoRoute,
  // No route has the packet's address, but a newer manifest may contain one.
  kRouteNotYetKnown,
  // The route of the packet's address names no service that this balancer can
  // use.
  kNoService,
  // No server of the service is eligible, or the chosen server shares both of
  // its tokens with other servers.
  kNoServer,
  // No known server has the packet's token, or more than one has it.
  kUnknownToken,
  // The flow's server has ended.
  kServerGone,
  // The view denies the flow: its server has ended, or its route was dropped.
  // The view may be older than the flow, so the packet is forwarded.
  kDenialNotConfirmed,
  // The packet waited for a newer view, which allows its flow.
  kAllowedByNewerView,
  // The flow's server counts as unreachable.
  kServerUnreachable,
  // All eligible servers of the service are cold, and this balancer's share of
  // their openings is used up.
  kServersCold,
  // No manifest or no list of servers has been received yet.
  kNotReady,
  // All ready servers of the service are in evacuated data centres.
  kEvacuated,
  // The service is overloaded, and admission by priority refused the opening.
  kOverloaded,
};

inline constexpr base::EnumTable<Reason, 18> kReasonNames{{
    {Reason::kPlaced, "placed"},
    {Reason::kPlacedAgain, "placed_again"},
    {Reason::kPlacedElsewhere, "placed_elsewhere"},
    {Reason::kPlacedInEvacuated, "placed_in_evacuated"},
    {Reason::kTokenFollowed, "token_followed"},
    {Reason::kNoRoute, "no_route"},
    {Reason::kRouteNotYetKnown, "route_not_yet_known"},
    {Reason::kNoService, "no_service"},
    {Reason::kNoServer, "no_server"},
    {Reason::kUnknownToken, "unknown_token"},
    {Reason::kServerGone, "server_gone"},
    {Reason::kDenialNotConfirmed, "denial_not_confirmed"},
    {Reason::kAllowedByNewerView, "allowed_by_newer_view"},
    {Reason::kServerUnreachable, "server_unreachable"},
    {Reason::kServersCold, "servers_cold"},
    {Reason::kNotReady, "not_ready"},
    {Reason::kEvacuated, "evacuated"},
    {Reason::kOverloaded, "overloaded"},
}};

// The balancer writes `m_token` into the packet and sends the packet to
// `m_server`.
struct Forward {
  KnownServer* m_server = nullptr;
  FlowToken m_token;
};

// The balancer sends the caller a reset with the sequence number `m_sequence`.
// The number is the acknowledgement number of the caller's packet, so the
// caller accepts the reset.
struct Reset {
  std::uint32_t m_sequence = 0;
};

// The balancer discards the packet without a reply.
struct Drop {};

using Action = std::variant<Forward, Reset, Drop>;

struct Decision {
  Action m_action;
  Reason m_reason = Reason::kTokenFollowed;
  // Null if no route has the packet's address. Valid until the next manifest
  // is applied.
  const Route* m_route = nullptr;
  // The server of the flow, or the server chosen by placement; null if there
  // is none.
  const KnownServer* m_server = nullptr;
  // Set for a placement: the number of eligible servers, and the cost of the
  // chosen one.
  std::size_t m_candidates = 0;
  double m_cost = 0;
  // Set if the opening is an extra one.
  std::optional<ExtraReason> m_extra;
  // Set for a first opening to a service with admission by priority.
  std::optional<admission::AdmissionVerdict> m_admission;
  // Set for a packet of an established flow.
  PacketKind m_packet_kind = PacketKind::kNothingNew;
  // Set for an answer or a retransmission: the time since the caller's request
  // or opening.
  base::Duration m_waited{};
  // Set if the denial of the flow is not confirmed: a view that contains all
  // changes made before this time decides about the flow.
  std::optional<base::TimePoint> m_needed_as_of;
  // The server that became reachable because of this packet; null if there is
  // none.
  const KnownServer* m_changed_server = nullptr;
};

// An unanswered opening that the balancer sends to a further server.
struct OpeningResend {
  flow::FlowKey m_flow;
  Decision m_decision;
};

}  // namespace steering

#endif  // LIBSTEERING_DECISION_H_
