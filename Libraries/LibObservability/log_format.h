// Formats log lines as JSON (RFC 8259). The functions are pure; log.h and
// non_blocking_log.h write the lines.

#ifndef LIBOBSERVABILITY_LOG_FORMAT_H_
#define LIBOBSERVABILITY_LOG_FORMAT_H_

#include <chrono>
#include <span>
#include <string>
#include <string_view>

#include "LibBase/enum_table.h"
#include "LibObservability/event.h"
#include "LibObservability/log_field.h"

namespace observability {

enum class Severity { kDebug, kInfo, kWarning, kError };

inline constexpr base::EnumTable<Severity, 4> kSeverityNames{{
    {Severity::kDebug, "debug"},
    {Severity::kInfo, "info"},
    {Severity::kWarning, "warning"},
    {Severity::kError, "error"},
}};

// Longer text values are truncated to this length.
inline constexpr std::size_t kMaxLogTextBytes = 2048;

// Returns `text` as a JSON string in quotation marks. Bytes that are not valid
// UTF-8 become U+FFFD.
std::string QuoteJson(std::string_view text);

// Returns `value` as JSON. A double that is not finite becomes null.
std::string ToJson(const LogValue& value);

// Returns one line without its line feed:
// {"time":"2026-01-31T10:00:00.000Z","severity":"info","event":"ready",...}
std::string FormatLogLine(std::chrono::system_clock::time_point time,
                          Severity severity,
                          Event event,
                          std::span<const LogField> fields);

}  // namespace observability

#endif  // LIBOBSERVABILITY_LOG_FORMAT_H_
