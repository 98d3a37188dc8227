// Helpers for tests that run several callers at once.

#ifndef TESTS_INTEGRATION_CALLERS_H_
#define TESTS_INTEGRATION_CALLERS_H_

#include <chrono>
#include <vector>

#include "child_process.h"

namespace integration {

using CallerList = std::vector<ChildProcess*>;

// Waits until each caller has established `count` more flows.
void AwaitNewFlowsOfAll(const CallerList& callers, int count);

// Stops all callers, which ends their flows. Returns their final reports in the
// order of `callers`.
std::vector<JsonLine> StopAll(
    const CallerList& callers,
    std::chrono::milliseconds deadline = std::chrono::seconds(30));

}  // namespace integration

#endif  // TESTS_INTEGRATION_CALLERS_H_
