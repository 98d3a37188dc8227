// The subcommands for operators. Each prints its result to standard output and
// its problems to standard error, and returns the exit code of the process.

#ifndef SERVICES_EDGE_COMMANDS_H_
#define SERVICES_EDGE_COMMANDS_H_

#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "exit_code.h"

namespace edge {

ExitCode CheckSettings(const std::string& path);
// Prints the status of the balancer with the metrics endpoint `metrics`.
ExitCode PrintStatus(base::Endpoint metrics);
// Prints the lines of the log files about a request.
ExitCode ExplainRequest(const std::string& request,
                        const std::vector<std::string>& log_paths);

}  // namespace edge

#endif  // SERVICES_EDGE_COMMANDS_H_
