#include "settings_wait.h"

#include <signal.h>
#include <unistd.h>

#include <cstdint>

#include "LibBase/milliseconds.h"
#include "settings_file.h"

namespace edge {

namespace {

using observability::Event;
using observability::Severity;

// Log lines per second of one event.
constexpr std::uint64_t kLinesPerSecond = 100;

}  // namespace

SettingsWait::SettingsWait(asio::io_context& context,
                           ControlSignals& signals,
                           const std::string& path)
    : m_context(context),
      m_signals(signals),
      m_path(path),
      m_started_at(base::Clock::now()),
      m_log(STDOUT_FILENO, kLinesPerSecond),
      m_timers(context) {}

SettingsWait::Result SettingsWait::Run() {
  m_signals.SetHandler([this](int signal) { OnSignal(signal); });
  Read(base::Clock::now());
  if (!m_result) {
    m_next_read = m_timers.timers().SubscribeEvery(
        base::Clock::now() + kInterval, kInterval,
        [this](base::TimePoint now) { Read(now); });
    m_timers.Rearm();
    m_context.run();
  }
  m_context.restart();
  m_signals.SetHandler({});
  return *m_result;
}

void SettingsWait::OnSignal(int signal) {
  if (signal == SIGHUP) {
    Read(base::Clock::now());
    return;
  }
  m_log.Write(Severity::kInfo, Event::kShutdownStarted,
              {{"signal", signal}, {"grace_ms", 0}});
  m_log.Write(Severity::kInfo, Event::kShutdownFinished, {});
  Finish(ExitCode::kDone);
}

void SettingsWait::Read(base::TimePoint now) {
  if (m_result)
    return;
  const auto result = LoadSettings(m_path);
  if (const auto* settings = std::get_if<EdgeSettings>(&result)) {
    Finish(*settings);
    return;
  }
  Report(std::get<configuration::Problems>(result));
  if (now >= m_started_at + kLimit)
    GiveUp(now);
  m_log.Flush();
}

void SettingsWait::Report(const configuration::Problems& problems) {
  for (const configuration::Problem& problem : problems) {
    const std::string text = ToString(problem);
    if (m_reported.insert(text).second)
      m_log.Write(Severity::kError, Event::kSettingsRefused,
                  {{"cause", "start"}, {"problem", text}});
  }
}

void SettingsWait::GiveUp(base::TimePoint now) {
  m_log.Write(Severity::kError, Event::kStartFailed,
              {{"reason", "the settings file has problems"},
               {"path", m_path},
               {"waited_ms", base::WholeMilliseconds(now - m_started_at)}});
  Finish(ExitCode::kRefused);
}

void SettingsWait::Finish(const Result& result) {
  m_result = result;
  m_timers.timers().Cancel(m_next_read);
  m_log.Flush();
  m_context.stop();
}

}  // namespace edge
