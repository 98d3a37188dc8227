// The subcommand that runs a balancer.

#ifndef SERVICES_COLTSFOOTDALE_BALANCER_COMMAND_H_
#define SERVICES_COLTSFOOTDALE_BALANCER_COMMAND_H_

#include <string>
#include <vector>

namespace service {

// Runs a balancer with the settings file that `arguments` name and returns when
// the balancer has stopped. Exit codes: 0 after a graceful shutdown, 1 if the
// settings are refused, 2 for wrong usage, 4 if a socket cannot be bound.
int RunBalancer(const std::vector<std::string>& arguments);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_BALANCER_COMMAND_H_
