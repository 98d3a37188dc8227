#include "StandIns/event_loop.h"

#include <algorithm>
#include <csignal>
#include <system_error>

namespace stand_ins {

namespace {

constexpr auto kLongestSleep = std::chrono::milliseconds(100);

}  // namespace

void EventLoop::Run() {
  m_stopped = false;
  asio::signal_set signals(m_context, SIGTERM);
  signals.async_wait([this](std::error_code error, int) {
    if (!error)
      Stop();
  });
  while (!m_stopped) {
    m_timers.Advance(Now());
    const base::TimePoint limit = Now() + kLongestSleep;
    const auto deadline = m_timers.NextDeadline().value_or(limit);
    m_context.run_one_until(std::min(deadline, limit));
    m_context.poll();
  }
}

}  // namespace stand_ins
