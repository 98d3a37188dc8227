// The subcommand that submits a configuration document.

#ifndef SERVICES_COLTSFOOTDALE_SUBMIT_COMMAND_H_
#define SERVICES_COLTSFOOTDALE_SUBMIT_COMMAND_H_

#include <string>
#include <vector>

namespace service {

// Exit codes: 0 if the document was accepted, 1 if it was refused (every error
// is listed), 2 for wrong usage, 3 for a conflict with another submission, 4 if
// the platform cannot be reached or the outcome is unknown.
int RunSubmit(const std::vector<std::string>& arguments);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_SUBMIT_COMMAND_H_
