// The exit codes of every subcommand; docs/OPERATIONS.md lists them.

#ifndef SERVICES_COLTSFOOTDALE_EXIT_CODE_H_
#define SERVICES_COLTSFOOTDALE_EXIT_CODE_H_

namespace service {

enum class ExitCode {
  kDone = 0,
  // The settings or the document were refused; every error is printed.
  kRefused = 1,
  // The command line is wrong, or a file cannot be read.
  kUsage = 2,
  // The document was not made from the version in force, because another
  // submission took effect first.
  kConflict = 3,
  // The platform or the balancer cannot be reached, a socket cannot be bound,
  // or the outcome is unknown.
  kUnreachable = 4,
};

constexpr int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_EXIT_CODE_H_
