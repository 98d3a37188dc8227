// The log of the process: JSON lines written through Boost.Log.

#ifndef LIBOBSERVABILITY_LOG_H_
#define LIBOBSERVABILITY_LOG_H_

#include <vector>

#include "LibObservability/event.h"
#include "LibObservability/log_field.h"
#include "LibObservability/log_format.h"

namespace observability {

enum class LogDestination { kStandardOutput, kStandardError };

// Sends log lines of at least the severity `threshold` to `destination`. Must
// be called once at the start of the process; WriteLog writes nothing before.
void StartLog(LogDestination destination, Severity threshold = Severity::kInfo);

// Writes one line and flushes it. Thread-safe. Example:
// WriteLog(Severity::kInfo, Event::kPeerJoined, {{"peer", name}});
void WriteLog(Severity severity,
              Event event,
              const std::vector<LogField>& fields = {});

}  // namespace observability

#endif  // LIBOBSERVABILITY_LOG_H_
