// A log for small processes that must never wait: JSON lines straight to a
// file descriptor. Lines are gathered for a moment, as each write has a price;
// what the descriptor can't take at once is dropped and counted, and each event
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
  // Bytes up to this number go into a pipe whole, and without waiting where
  // poll(2) says that it is writable (POSIX: PIPE_BUF). Longer lines are
  // dropped.
  static constexpr std::size_t kMaximumWriteBytes = 4096;

  // `lines_per_second` holds for each event by itself.
  NonBlockingLog(int descriptor, std::uint64_t lines_per_second);
  ~NonBlockingLog() { Flush(); }
  NonBlockingLog(const NonBlockingLog&) = delete;
  NonBlockingLog& operator=(const NonBlockingLog&) = delete;

  // Queries.
  std::uint64_t DroppedLines() const { return m_dropped_lines; }

  // Commands.
  // Whether a line of `event` may be written now; counts it if not. Lets the
  // caller spare the work of gathering the fields.
  bool Admit(Event event, base::TimePoint now);
  // Adds a line without asking Admit. It is written with the next Flush, or
  // with the next line that does not fit beside it.
  void Write(Severity severity,
             Event event,
             std::initializer_list<LogField> fields);
  // Writes the lines gathered. Called several times a second.
  void Flush();
  // Adds what was left out since the last summary. Called every second or
  // so.
  void WriteSummaries(base::TimePoint now);

 private:
  int m_descriptor;
  RateLimiter m_limiter;
  // Whole lines of kMaximumWriteBytes at most.
  std::string m_buffer;
  std::uint64_t m_buffered_lines = 0;
  std::uint64_t m_dropped_lines = 0;
  std::uint64_t m_reported_dropped_lines = 0;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_NON_BLOCKING_LOG_H_
