// The subcommand that validates settings and documents without a platform.

#ifndef SERVICES_COLTSFOOTDALE_CHECK_COMMAND_H_
#define SERVICES_COLTSFOOTDALE_CHECK_COMMAND_H_

#include <string>
#include <vector>

namespace service {

// Exit codes: 0 if the files are valid, 1 if one is not (every error is
// printed to standard error), 2 for wrong usage.
int RunCheck(const std::vector<std::string>& arguments);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_CHECK_COMMAND_H_
