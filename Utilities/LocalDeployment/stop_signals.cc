#include "stop_signals.h"

#include <signal.h>
#include <time.h>

#include <initializer_list>

namespace local_deployment {

namespace {

volatile sig_atomic_t g_stop_requested = 0;

void RequestStop(int /*signal*/) {
  g_stop_requested = 1;
}

sigset_t InterruptSet() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void PrepareStopSignals() {
  const sigset_t interrupt = InterruptSet();
  sigprocmask(SIG_BLOCK, &interrupt, nullptr);
  struct sigaction action = {};
  action.sa_handler = RequestStop;
  for (const int signal : {SIGTERM, SIGHUP})
    sigaction(signal, &action, nullptr);
}

bool WaitForStop(std::chrono::seconds interval) {
  if (g_stop_requested != 0)
    return true;
  const sigset_t interrupt = InterruptSet();
  timespec timeout = {};
  timeout.tv_sec = interval.count();
  const bool interrupted = sigtimedwait(&interrupt, nullptr, &timeout) > 0;
  return interrupted || g_stop_requested != 0;
}

}  // namespace local_deployment
