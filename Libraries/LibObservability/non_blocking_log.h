// A log for processes that must never block: writes JSON lines directly to a
// file descriptor. Lines are buffered until Flush to save system calls. Lines
// that cannot be written without blocking are dropped and counted. Each event
// is limited to a number of lines a second.

#ifndef LIBOBSERVABILITY_NON_BLOCKING_LOG_H_
#define LIBOBSERVABILITY_NON_BLOCKING_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>

#include "LibBase/time.h"
#include "LibObservability/event.h"
#include "LibObservability/log_field.h"
#include "LibObservability/log_format.h"
#include "LibObservability/rate_limiter.h"

namespace observability {

class NonBlockingLog {
 public:
  // A write of up to this number of bytes to a pipe is atomic, and does not
  // block if poll(2) reports the pipe as writable (POSIX: PIPE_BUF). Longer
  // lines are dropped.
  static constexpr std::size_t kMaximumWriteBytes = 4096;

  // `lines_per_second` limits each event separately.
  NonBlockingLog(int descriptor, std::uint64_t lines_per_second);
  ~NonBlockingLog() { Flush(); }
  NonBlockingLog(const NonBlockingLog&) = delete;
  NonBlockingLog& operator=(const NonBlockingLog&) = delete;

  // Queries.
  std::uint64_t DroppedLines() const { return m_dropped_lines; }

  // Commands.
  // Returns whether a line of `event` may be written now; if not, counts the
  // line as suppressed. The caller checks this before it builds the fields.
  bool Admit(Event event, base::TimePoint now);
  // Adds a line to the buffer without checking the rate limit. If the buffer
  // has no room for the line, flushes the buffer first.
  void Write(Severity severity,
             Event event,
             std::initializer_list<LogField> fields);
  // Writes the buffered lines, or drops them if the write would block. The
  // owner calls Flush several times a second.
  void Flush();
  // Adds lines that give the numbers of lines suppressed and dropped since the
  // last summary. The owner calls WriteSummaries about every second.
  void WriteSummaries(base::TimePoint now);

 private:
  int m_descriptor;
  RateLimiter m_limiter;
  // Complete lines, at most kMaximumWriteBytes in all.
  std::string m_buffer;
  std::uint64_t m_buffered_lines = 0;
  std::uint64_t m_dropped_lines = 0;
  std::uint64_t m_reported_dropped_lines = 0;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_NON_BLOCKING_LOG_H_
