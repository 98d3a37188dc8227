#include "report_command.h"

#include "admin_request.h"

namespace service {

int RunReport(const std::vector<std::string>& arguments) {
  return ToInt(PrintAdminPage(
      {"report", "Prints the report on service-level burn as text.",
       "/report?format=text"},
      arguments));
}

}  // namespace service
