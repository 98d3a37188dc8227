// The exit codes of coltsfootdale-edge.

#ifndef SERVICES_EDGE_EXIT_CODE_H_
#define SERVICES_EDGE_EXIT_CODE_H_

namespace edge {

enum class ExitCode {
  kDone = 0,
  // The input is invalid, and all problems have been printed; or no log line
  // contains the request.
  kRefused = 1,
  // The command line is wrong, or a file cannot be read.
  kUsage = 2,
  // The manifest that was checked has warnings, or at least one error.
  kWarnings = 1,
  kErrors = 2,
  // A socket cannot be bound, or the balancer does not respond.
  kUnreachable = 4,
  // An exception that no part handles, such as too few descriptors for the
  // event loop.
  kInternalError = 5,
};

}  // namespace edge

#endif  // SERVICES_EDGE_EXIT_CODE_H_
