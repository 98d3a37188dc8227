// The stable names of the events that the log reports. Alerts match on them,
// so a name is never reused for another meaning. docs/OPERATING.md lists them.

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
  kEventsSuppressed,
};

inline constexpr base::EnumTable<Event, 22> kEventNames{{
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
    {Event::kEventsSuppressed, "events_suppressed"},
}};

}  // namespace observability

#endif  // LIBOBSERVABILITY_EVENT_H_
