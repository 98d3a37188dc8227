// The stable names of the events that the log reports. Alerts match on them,
// so a name is never reused for another meaning. docs/OPERATING.md lists them.

#ifndef LIBOBSERVABILITY_EVENT_H_
#define LIBOBSERVABILITY_EVENT_H_

#include <string_view>

#include "LibBase/enum_table.h"

namespace observability {

enum class Event {
  kListening,
  kReady,
  kNotReady,
  kShutdownStarted,
  kShutdownFinished,
  kSettingsRefused,
  kConfigurationInForce,
  kConfigurationRefused,
  kConfigurationStale,
  kConfigurationSubmitted,
  kSubmissionRefused,
  kSubmissionConflict,
  kSubmissionUnknown,
  kLeaseLapsed,
  kLeaseRegained,
  kPeerJoined,
  kPeerSuspected,
  kPeerRecovered,
  kPeerLeft,
  kPeerMessageRefused,
  kPlatformReachable,
  kPlatformUnreachable,
  kBackendServerHealthy,
  kBackendServerUnhealthy,
  kBackendServerEjected,
  kBackendServerDraining,
  kBackendServerDrained,
  kAddressHeld,
  kAddressReleased,
  kOpeningRefused,
  kOpeningReopened,
  kFlowSilent,
  kFlowUnknown,
  kPacketRefused,
  kFlowTableFull,
  kObjectiveBurning,
  kObjectiveMet,
  kConsoleRequestRefused,
  kEventsSuppressed,
};

inline constexpr base::EnumTable<Event, 39> kEventNames{{
    {Event::kListening, "listening"},
    {Event::kReady, "ready"},
    {Event::kNotReady, "not_ready"},
    {Event::kShutdownStarted, "shutdown_started"},
    {Event::kShutdownFinished, "shutdown_finished"},
    {Event::kSettingsRefused, "settings_refused"},
    {Event::kConfigurationInForce, "configuration_in_force"},
    {Event::kConfigurationRefused, "configuration_refused"},
    {Event::kConfigurationStale, "configuration_stale"},
    {Event::kConfigurationSubmitted, "configuration_submitted"},
    {Event::kSubmissionRefused, "submission_refused"},
    {Event::kSubmissionConflict, "submission_conflict"},
    {Event::kSubmissionUnknown, "submission_unknown"},
    {Event::kLeaseLapsed, "lease_lapsed"},
    {Event::kLeaseRegained, "lease_regained"},
    {Event::kPeerJoined, "peer_joined"},
    {Event::kPeerSuspected, "peer_suspected"},
    {Event::kPeerRecovered, "peer_recovered"},
    {Event::kPeerLeft, "peer_left"},
    {Event::kPeerMessageRefused, "peer_message_refused"},
    {Event::kPlatformReachable, "platform_reachable"},
    {Event::kPlatformUnreachable, "platform_unreachable"},
    {Event::kBackendServerHealthy, "backend_server_healthy"},
    {Event::kBackendServerUnhealthy, "backend_server_unhealthy"},
    {Event::kBackendServerEjected, "backend_server_ejected"},
    {Event::kBackendServerDraining, "backend_server_draining"},
    {Event::kBackendServerDrained, "backend_server_drained"},
    {Event::kAddressHeld, "address_held"},
    {Event::kAddressReleased, "address_released"},
    {Event::kOpeningRefused, "opening_refused"},
    {Event::kOpeningReopened, "opening_reopened"},
    {Event::kFlowSilent, "flow_silent"},
    {Event::kFlowUnknown, "flow_unknown"},
    {Event::kPacketRefused, "packet_refused"},
    {Event::kFlowTableFull, "flow_table_full"},
    {Event::kObjectiveBurning, "objective_burning"},
    {Event::kObjectiveMet, "objective_met"},
    {Event::kConsoleRequestRefused, "console_request_refused"},
    {Event::kEventsSuppressed, "events_suppressed"},
}};

}  // namespace observability

#endif  // LIBOBSERVABILITY_EVENT_H_
