// The subcommand that prints the burn report: how fast the services use up the
// error budgets of their service-level objectives, summed over all balancers.

#ifndef SERVICES_COLTSFOOTDALE_REPORT_COMMAND_H_
#define SERVICES_COLTSFOOTDALE_REPORT_COMMAND_H_

#include <string>
#include <vector>

namespace service {

// Exit codes: 0 if the page was printed, 2 for wrong usage, 4 if the balancer
// sent no valid response.
int RunReport(const std::vector<std::string>& arguments);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_REPORT_COMMAND_H_
