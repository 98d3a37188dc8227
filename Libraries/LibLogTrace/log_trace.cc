#include "LibLogTrace/log_trace.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <regex>
#include <set>
#include <utility>

namespace log_trace {

namespace {

// Events about the state of a whole process.
constexpr std::array<std::string_view, 12> kProcessEvents = {
    "listening",      "ready",          "shutdown_started",
    "store_lost",     "store_regained", "configuration_in_force",
    "snapshot_taken", "pause_detected", "settings_reloaded",
    "packets_held",   "servers_listed", "log_lines_dropped",
};
// Events about one backend server.
constexpr std::array<std::string_view, 4> kServerEvents = {
    "server_changed", "server_unreachable", "server_reachable",
    "probe_inconclusive"};

// The trace covers the time from this long before the first line about the
// request to this long after the last. It has the openings of the request's
// flow at any time.
constexpr double kSecondsBefore = 6.0;
constexpr double kSecondsAfter = 3.0;

struct ParsedLine {
  const SourcedLine* m_line = nullptr;
  std::string m_time;
  std::string m_event;
  std::string m_request;
  // The caller and the address, separated by a space; empty if the line has no
  // caller.
  std::string m_flow;
  std::string m_server;
  std::string m_process;
};

std::string StringMember(const rapidjson::Document& document,
                         const char* name) {
  const auto member = document.FindMember(name);
  if (member == document.MemberEnd() || !member->value.IsString())
    return {};
  return {member->value.GetString(), member->value.GetStringLength()};
}

// The name of a log file without a date or the number of a rotated file, which
// is the same for all files of one process: "edge-1-2026-01-31.log",
// "edge-1.log.20260131" and "edge-1.log.2" belong to "edge-1.log".
std::string ProcessOf(const std::string& source) {
  static const std::regex date(
      R"([-._]?20[0-9]{2}(-?)(0[1-9]|1[0-2])\1([0-2][0-9]|3[01])(?![0-9]))");
  static const std::regex rotated(R"(\.log\.[0-9]+$)");
  return std::regex_replace(std::regex_replace(source, date, ""), rotated,
                            ".log");
}

std::vector<ParsedLine> ParseLines(const std::vector<SourcedLine>& lines) {
  std::vector<ParsedLine> parsed;
  const std::string* source = nullptr;
  std::string process;
  for (const SourcedLine& line : lines) {
    // Most lines are from the source of the line before.
    if (source == nullptr || line.m_source != *source) {
      source = &line.m_source;
      process = ProcessOf(line.m_source);
    }
    const std::size_t brace = line.m_text.find('{');
    if (brace == std::string::npos)
      continue;
    rapidjson::Document document;
    // Does not recurse, so that deep nesting does not overflow the stack.
    document.Parse<rapidjson::kParseIterativeFlag>(line.m_text.data() + brace,
                                                   line.m_text.size() - brace);
    if (document.HasParseError() || !document.IsObject())
      continue;
    const std::string caller = StringMember(document, "caller");
    parsed.push_back(
        {&line, StringMember(document, "time"), StringMember(document, "event"),
         StringMember(document, "request"),
         caller.empty() ? caller
                        : caller + " " + StringMember(document, "address"),
         StringMember(document, "server"), process});
  }
  return parsed;
}

template <typename Names>
bool Contains(const Names& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The seconds since the Unix epoch of a time like "2026-01-31T10:00:00.000Z",
// rounded down to tenths.
double SecondsSinceEpoch(const std::string& time) {
  constexpr std::size_t kCentury = 0;
  constexpr std::size_t kYearOfCentury = 2;
  constexpr std::size_t kMonth = 5;
  constexpr std::size_t kDay = 8;
  constexpr std::size_t kHour = 11;
  constexpr std::size_t kMinute = 14;
  constexpr std::size_t kSecond = 17;
  constexpr std::size_t kLength = 23;
  if (time.size() < kLength)
    return 0;
  const auto digits = [&time](std::size_t offset) {
    return (time[offset] - '0') * 10 + (time[offset + 1] - '0');
  };
  const std::chrono::year_month_day date{
      std::chrono::year(100 * digits(kCentury) + digits(kYearOfCentury)),
      std::chrono::month(static_cast<unsigned>(digits(kMonth))),
      std::chrono::day(static_cast<unsigned>(digits(kDay)))};
  const std::chrono::seconds midnight =
      std::chrono::sys_days(date).time_since_epoch();
  return static_cast<double>(midnight.count()) + digits(kHour) * 3600.0 +
         digits(kMinute) * 60.0 + digits(kSecond) +
         (time[kSecond + 3] - '0') * 0.1;
}

}  // namespace

std::vector<SourcedLine> TraceRequest(const std::vector<SourcedLine>& lines,
                                      std::string_view id) {
  const std::vector<ParsedLine> parsed = ParseLines(lines);
  std::set<std::string> flows;
  std::set<std::string> servers;
  std::set<std::string> processes;
  for (const ParsedLine& line : parsed) {
    if (line.m_request == id && !line.m_flow.empty())
      flows.insert(line.m_flow);
  }
  if (flows.empty())
    return {};
  double first = std::numeric_limits<double>::max();
  double last = 0;
  for (const ParsedLine& line : parsed) {
    if (line.m_flow.empty() || !flows.contains(line.m_flow))
      continue;
    if (!line.m_server.empty())
      servers.insert(line.m_server);
    processes.insert(line.m_process);
    if (line.m_request == id) {
      first = std::min(first, SecondsSinceEpoch(line.m_time));
      last = std::max(last, SecondsSinceEpoch(line.m_time));
    }
  }
  std::vector<const ParsedLine*> selected;
  for (const ParsedLine& line : parsed) {
    const double at = SecondsSinceEpoch(line.m_time);
    const bool is_near =
        at >= first - kSecondsBefore && at <= last + kSecondsAfter;
    const bool is_opening = line.m_event.starts_with("opening_");
    const bool is_of_flow = (is_near || is_opening) && !line.m_flow.empty() &&
                            flows.contains(line.m_flow);
    const bool has_process = is_near && processes.contains(line.m_process);
    const bool is_of_server = has_process &&
                              Contains(kServerEvents, line.m_event) &&
                              servers.contains(line.m_server);
    const bool is_of_process =
        has_process && Contains(kProcessEvents, line.m_event);
    if (is_of_flow || is_of_server || is_of_process)
      selected.push_back(&line);
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [](const ParsedLine* one, const ParsedLine* other) {
                     return one->m_time < other->m_time;
                   });
  std::vector<SourcedLine> trace;
  trace.reserve(selected.size());
  for (const ParsedLine* line : selected)
    trace.push_back(*line->m_line);
  return trace;
}

}  // namespace log_trace
