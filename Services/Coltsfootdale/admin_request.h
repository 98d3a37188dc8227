// Fetches one page from the admin server of a balancer.

#ifndef SERVICES_COLTSFOOTDALE_ADMIN_REQUEST_H_
#define SERVICES_COLTSFOOTDALE_ADMIN_REQUEST_H_

#include <string>
#include <vector>

#include "exit_code.h"

namespace service {

struct AdminPage {
  // The subcommand that prints the page.
  std::string m_subcommand;
  // One sentence for the help text of the subcommand.
  std::string m_summary;
  // The path and query of the page's URL.
  std::string m_path;
};

// Parses `arguments` (--admin IP:PORT), requests the page and prints the body
// of the response to standard output.
ExitCode PrintAdminPage(const AdminPage& page,
                        const std::vector<std::string>& arguments);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_ADMIN_REQUEST_H_
