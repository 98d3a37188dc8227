// Collects the log lines of several processes about one request: the lines
// about the request's flow and its servers, and the lines about the state of
// the processes around the time of the request.

#ifndef LIBLOGTRACE_LOG_TRACE_H_
#define LIBLOGTRACE_LOG_TRACE_H_

#include <string>
#include <string_view>
#include <vector>

namespace log_trace {

// A log line and the file or process that wrote the line. Files whose names
// differ only in a date or in the number of a rotated file belong to one
// process.
struct SourcedLine {
  std::string m_source;
  std::string m_text;
};

// The lines about the request with `id` in order of their times; empty if no
// line of a flow contains `id`. Ignores lines without a JSON object. A line may
// have other text before the object's opening brace, and keeps that text.
std::vector<SourcedLine> TraceRequest(const std::vector<SourcedLine>& lines,
                                      std::string_view id);

}  // namespace log_trace

#endif  // LIBLOGTRACE_LOG_TRACE_H_
