// The subcommand that prints a balancer's report on service-level burn.

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
