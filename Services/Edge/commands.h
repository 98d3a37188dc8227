// The subcommands for operators. Each prints to standard output, its problems
// to standard error, and returns the exit code of the process.

#ifndef SERVICES_EDGE_COMMANDS_H_
#define SERVICES_EDGE_COMMANDS_H_

#include <string>
#include <vector>

#include "LibBase/ipv4.h"

namespace edge {

enum class ExitCode {
  kDone = 0,
  // The input was refused; every problem is listed.
  kRefused = 1,
  // The command line is wrong, or a file cannot be read.
  kUsage = 2,
  // A socket cannot be bound, or the other side does not answer.
  kUnreachable = 4,
};

ExitCode CheckSettings(const std::string& path);
// `path` holds a manifest's object as the store has it.
ExitCode CheckManifest(const std::string& path);
// Prints what the balancer with this metrics endpoint believes.
ExitCode PrintStatus(base::Endpoint metrics);
// Prints what the log files say of a request.
ExitCode ExplainRequest(const std::string& request,
                        const std::vector<std::string>& log_paths);

}  // namespace edge

#endif  // SERVICES_EDGE_COMMANDS_H_
