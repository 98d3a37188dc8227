#include "LibObservability/non_blocking_log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <span>

namespace observability {

namespace {

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

NonBlockingLog::NonBlockingLog(int descriptor, std::uint64_t lines_per_second)
    : m_descriptor(descriptor),
      m_limiter({lines_per_second, std::chrono::seconds(1)}) {}

bool NonBlockingLog::Admit(Event event, base::TimePoint now) {
  return m_limiter.Admit(event, {}, now);
}

void NonBlockingLog::Write(Severity severity,
                           Event event,
                           std::initializer_list<LogField> fields) {
  std::string line = FormatLogLine(std::chrono::system_clock::now(), severity,
                                   event, std::span(fields));
  line += '\n';
  if (line.size() > kMaximumWriteBytes) {
    ++m_dropped_lines;
    return;
  }
  if (m_buffer.size() + line.size() > kMaximumWriteBytes)
    Flush();
  m_buffer += line;
  ++m_buffered_lines;
}

void NonBlockingLog::Flush() {
  if (m_buffer.empty())
    return;
  const bool is_written =
      IsWritable(m_descriptor) &&
      write(m_descriptor, m_buffer.data(), m_buffer.size()) ==
          static_cast<ssize_t>(m_buffer.size());
  if (!is_written)
    m_dropped_lines += m_buffered_lines;
  m_buffer.clear();
  m_buffered_lines = 0;
}

void NonBlockingLog::WriteSummaries(base::TimePoint now) {
  for (const RateLimiter::Summary& summary : m_limiter.CollectSummaries(now)) {
    Write(Severity::kInfo, Event::kEventsSuppressed,
          {{"of", NameOf(kEventNames, summary.m_event)},
           {"lines", summary.m_suppressed}});
  }
  if (m_dropped_lines == m_reported_dropped_lines)
    return;
  const std::uint64_t dropped_lines = m_dropped_lines;
  Write(Severity::kWarning, Event::kLogLinesDropped,
        {{"lines", dropped_lines - m_reported_dropped_lines}});
  m_reported_dropped_lines = dropped_lines;
}

}  // namespace observability
