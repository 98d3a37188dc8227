#include "status_command.h"

#include "admin_request.h"

namespace service {

int RunStatus(const std::vector<std::string>& arguments) {
  return ToInt(PrintAdminPage(
      {"status", "Prints the status of a balancer as JSON.", "/status"},
      arguments));
}

}  // namespace service
