// The signals by which an operator ends the program.

#ifndef UTILITIES_LOCALDEPLOYMENT_STOP_SIGNALS_H_
#define UTILITIES_LOCALDEPLOYMENT_STOP_SIGNALS_H_

#include <chrono>

namespace local_deployment {

// Call before the first child process is started. Blocks SIGINT, also for the
// child processes: Ctrl-C goes to the whole process group, and only this
// program is to act on it. SIGTERM and SIGHUP are noted.
void PrepareStopSignals();

// Waits for `interval`; returns true, at once, if a stop was asked for.
bool WaitForStop(std::chrono::seconds interval);

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_STOP_SIGNALS_H_
