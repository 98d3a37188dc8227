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
    ++m_dropped;
    return;
  }
  if (m_gathered.size() + line.size() > kMaximumWriteBytes)
    Flush();
  m_gathered += line;
  ++m_gathered_lines;
}

void NonBlockingLog::Flush() {
  if (m_gathered.empty())
    return;
  const bool is_taken =
      IsWritable(m_descriptor) &&
      write(m_descriptor, m_gathered.data(), m_gathered.size()) ==
          static_cast<ssize_t>(m_gathered.size());
  if (!is_taken)
    m_dropped += m_gathered_lines;
  m_gathered.clear();
  m_gathered_lines = 0;
}

void NonBlockingLog::WriteSummaries(base::TimePoint now) {
  for (const RateLimiter::Summary& summary : m_limiter.CollectSummaries(now)) {
    Write(Severity::kInfo, Event::kEventsSuppressed,
          {{"of", NameOf(kEventNames, summary.m_event)},
           {"lines", summary.m_suppressed}});
  }
  if (m_dropped == m_reported_dropped)
    return;
  const std::uint64_t dropped = m_dropped;
  Write(Severity::kWarning, Event::kLogLinesDropped,
        {{"lines", dropped - m_reported_dropped}});
  m_reported_dropped = dropped;
}

}  // namespace observability
