// Gathers what the logs of several processes say about one request: the lines
// of its flow, of the servers it went to, and of what the processes believed
// around that time.

#ifndef LIBLOGTRACE_LOG_TRACE_H_
#define LIBLOGTRACE_LOG_TRACE_H_

#include <string>
#include <string_view>
#include <vector>

namespace log_trace {

// A line of a log and the file or process that it comes from.
struct SourcedLine {
  std::string m_source;
  std::string m_text;
};

// The lines about the request with `id`, in order of their times; empty if no
// line names it. Text before the first brace of a line is kept, lines that are
// no JSON object are left out.
std::vector<SourcedLine> TraceRequest(const std::vector<SourcedLine>& lines,
                                      std::string_view id);

}  // namespace log_trace

#endif  // LIBLOGTRACE_LOG_TRACE_H_
