#include "callers.h"

namespace integration {

namespace {

constexpr auto kProgressDeadline = std::chrono::seconds(30);

}  // namespace

void AwaitNewFlowsOfAll(const CallerList& callers, int count) {
  struct Target {
    ChildProcess* m_caller;
    std::size_t m_line;
    int m_established;
  };
  std::vector<Target> targets;
  for (ChildProcess* caller : callers) {
    const std::size_t line = caller->LineCount();
    const int before =
        caller->SendAndWait("report", "report").get("established", 0);
    targets.push_back({caller, line, before + count});
  }
  for (const Target& target : targets)
    target.m_caller->WaitForLater(target.m_line, "progress", kProgressDeadline,
                                  [&target](const JsonLine& progress) {
                                    return progress.get("established", 0) >=
                                           target.m_established;
                                  });
}

std::vector<JsonLine> StopAll(const CallerList& callers,
                              std::chrono::milliseconds deadline) {
  std::vector<std::size_t> lines;
  for (ChildProcess* caller : callers) {
    lines.push_back(caller->LineCount());
    caller->SendLine("stop");
  }
  std::vector<JsonLine> reports;
  for (std::size_t i = 0; i < callers.size(); ++i)
    reports.push_back(callers[i]->WaitForLater(lines[i], "report", deadline));
  return reports;
}

}  // namespace integration
