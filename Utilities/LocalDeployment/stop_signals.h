// Handles the signals with which an operator stops the program.

#ifndef UTILITIES_LOCALDEPLOYMENT_STOP_SIGNALS_H_
#define UTILITIES_LOCALDEPLOYMENT_STOP_SIGNALS_H_

#include <chrono>

namespace local_deployment {

// Must be called before the first child process is started. Blocks SIGINT for
// this program and its child processes, because Ctrl-C signals the whole
// process group and only this program must react. Installs handlers that record
// SIGTERM and SIGHUP.
void PrepareStopSignals();

// Waits for `interval` and returns false. Returns true as soon as SIGINT,
// SIGTERM or SIGHUP arrives, also if the signal arrived earlier.
bool WaitForStop(std::chrono::seconds interval);

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_STOP_SIGNALS_H_
