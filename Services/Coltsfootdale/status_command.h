// The subcommand that prints the status of a balancer as JSON.

#ifndef SERVICES_COLTSFOOTDALE_STATUS_COMMAND_H_
#define SERVICES_COLTSFOOTDALE_STATUS_COMMAND_H_

#include <string>
#include <vector>

namespace service {

// Exit codes: 0 if the page was printed, 2 for wrong usage, 4 if the balancer
// sent no valid response.
int RunStatus(const std::vector<std::string>& arguments);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_STATUS_COMMAND_H_
