// The names of the events in the log. Operators' alerts match these names, so a
// name never changes and is never reused for another meaning.
// docs/OPERATIONS.md lists them.

#ifndef LIBOBSERVABILITY_EVENT_H_
#define LIBOBSERVABILITY_EVENT_H_

#include <string_view>

#include "LibBase/enum_table.h"

namespace observability {

enum class Event {
  kListening,
  kBindFailed,
  kReady,
  kShutdownStarted,
  kShutdownFinished,
  kConfigurationInForce,
  kConfigurationRefused,
  kConfigurationSubmitted,
  kSubmissionRefused,
  kSubmissionConflict,
  kSubmissionUnknown,
  kLeaseLapsed,
  kLeaseRegained,
  kPauseDetected,
  kPeerJoined,
  kPeerSuspected,
  kPeerLeft,
  kPeerMessageRefused,
  kPlatformUnreachable,
  kConsoleRequestRefused,
  kFlowsSilent,
  kOpeningPlaced,
  kOpeningMoved,
  kOpeningRefused,
  kPacketDropped,
  kRequestForwarded,
  kRequestRepeated,
  kRequestUnanswered,
  kFlowReset,
  kServerChanged,
  kServerUnreachable,
  kServerReachable,
  kStoreLost,
  kStoreRegained,
  kStoreCallFailed,
  kServersListed,
  kObjectsIgnored,
  kFieldUnusable,
  kSnapshotTaken,
  kSnapshotFailed,
  kSettingsReloaded,
  kSettingsRefused,
  kLogLinesDropped,
  kPacketsHeld,
  kEventsSuppressed,
};

inline constexpr base::EnumTable<Event, 45> kEventNames{{
    {Event::kListening, "listening"},
    {Event::kBindFailed, "bind_failed"},
    {Event::kReady, "ready"},
    {Event::kShutdownStarted, "shutdown_started"},
    {Event::kShutdownFinished, "shutdown_finished"},
    {Event::kConfigurationInForce, "configuration_in_force"},
    {Event::kConfigurationRefused, "configuration_refused"},
    {Event::kConfigurationSubmitted, "configuration_submitted"},
    {Event::kSubmissionRefused, "submission_refused"},
    {Event::kSubmissionConflict, "submission_conflict"},
    {Event::kSubmissionUnknown, "submission_unknown"},
    {Event::kLeaseLapsed, "lease_lapsed"},
    {Event::kLeaseRegained, "lease_regained"},
    {Event::kPauseDetected, "pause_detected"},
    {Event::kPeerJoined, "peer_joined"},
    {Event::kPeerSuspected, "peer_suspected"},
    {Event::kPeerLeft, "peer_left"},
    {Event::kPeerMessageRefused, "peer_message_refused"},
    {Event::kPlatformUnreachable, "platform_unreachable"},
    {Event::kConsoleRequestRefused, "console_request_refused"},
    {Event::kFlowsSilent, "flows_silent"},
    {Event::kOpeningPlaced, "opening_placed"},
    {Event::kOpeningMoved, "opening_moved"},
    {Event::kOpeningRefused, "opening_refused"},
    {Event::kPacketDropped, "packet_dropped"},
    {Event::kRequestForwarded, "request_forwarded"},
    {Event::kRequestRepeated, "request_repeated"},
    {Event::kRequestUnanswered, "request_unanswered"},
    {Event::kFlowReset, "flow_reset"},
    {Event::kServerChanged, "server_changed"},
    {Event::kServerUnreachable, "server_unreachable"},
    {Event::kServerReachable, "server_reachable"},
    {Event::kStoreLost, "store_lost"},
    {Event::kStoreRegained, "store_regained"},
    {Event::kStoreCallFailed, "store_call_failed"},
    {Event::kServersListed, "servers_listed"},
    {Event::kObjectsIgnored, "objects_ignored"},
    {Event::kFieldUnusable, "field_unusable"},
    {Event::kSnapshotTaken, "snapshot_taken"},
    {Event::kSnapshotFailed, "snapshot_failed"},
    {Event::kSettingsReloaded, "settings_reloaded"},
    {Event::kSettingsRefused, "settings_refused"},
    {Event::kLogLinesDropped, "log_lines_dropped"},
    {Event::kPacketsHeld, "packets_held"},
    {Event::kEventsSuppressed, "events_suppressed"},
}};

}  // namespace observability

#endif  // LIBOBSERVABILITY_EVENT_H_
