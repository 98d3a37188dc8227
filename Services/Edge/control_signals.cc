#include "control_signals.h"

#include <signal.h>

#include <array>
#include <system_error>
#include <utility>

namespace edge {

namespace {

constexpr std::array kControlSignals = {SIGHUP, SIGTERM, SIGINT};

sigset_t ControlSignalSet() noexcept {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : kControlSignals)
    sigaddset(&set, signal);
  return set;
}

void UnblockControlSignals() noexcept {
  const sigset_t set = ControlSignalSet();
  sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace

void BlockControlSignals() noexcept {
  const sigset_t set = ControlSignalSet();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void RestoreDefaultSignals() noexcept {
  signal(SIGPIPE, SIG_DFL);
  UnblockControlSignals();
}

ControlSignals::ControlSignals(asio::io_context& context) : m_signals(context) {
  for (const int signal : kControlSignals)
    m_signals.add(signal);
  Wait();
  UnblockControlSignals();
}

ControlSignals::~ControlSignals() {
  BlockControlSignals();
}

void ControlSignals::SetHandler(Handler handler) {
  m_handler = std::move(handler);
}

void ControlSignals::Wait() {
  m_signals.async_wait([this](const std::error_code& error, int signal) {
    if (error)
      return;
    if (m_handler)
      m_handler(signal);
    Wait();
  });
}

}  // namespace edge
