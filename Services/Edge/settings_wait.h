// Reads the settings of a process that starts. Another program may be writing
// the file, so a file with problems is read again for a bounded time.

#ifndef SERVICES_EDGE_SETTINGS_WAIT_H_
#define SERVICES_EDGE_SETTINGS_WAIT_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "LibBase/time.h"
#include "LibBase/timer_service.h"
#include "LibConfiguration/problem.h"
#include "LibEdge/edge_settings.h"
#include "LibEventLoop/timer_driver.h"
#include "LibObservability/non_blocking_log.h"
#include "control_signals.h"
#include "exit_code.h"

namespace edge {

// Must exist as long as `context` runs.
class SettingsWait {
 public:
  static constexpr base::Duration kInterval = std::chrono::milliseconds(50);
  static constexpr base::Duration kLimit = std::chrono::milliseconds(5000);

  // The settings; or kRefused if the file still has a problem at the end of the
  // time, or kDone after SIGTERM or SIGINT.
  using Result = std::variant<EdgeSettings, ExitCode>;

  SettingsWait(asio::io_context& context,
               ControlSignals& signals,
               const std::string& path);
  SettingsWait(const SettingsWait&) = delete;
  SettingsWait& operator=(const SettingsWait&) = delete;

  // Commands.
  // Runs the event loop until there is a result.
  Result Run();

 private:
  void OnSignal(int signal);
  void Read(base::TimePoint now);
  // Logs the problems that were not logged before.
  void Report(const configuration::Problems& problems);
  void GiveUp(base::TimePoint now);
  void Finish(const Result& result);

  asio::io_context& m_context;
  ControlSignals& m_signals;
  std::string m_path;
  base::TimePoint m_started_at;
  observability::NonBlockingLog m_log;
  event_loop::TimerDriver m_timers;
  base::TimerId m_next_read;
  std::set<std::string> m_reported;
  std::optional<Result> m_result;
};

}  // namespace edge

#endif  // SERVICES_EDGE_SETTINGS_WAIT_H_
