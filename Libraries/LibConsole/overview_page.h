// The pages that only show: the version in force and the burn report.

#ifndef LIBCONSOLE_OVERVIEW_PAGE_H_
#define LIBCONSOLE_OVERVIEW_PAGE_H_

#include <string>
#include <string_view>

#include "LibConsole/document_in_force.h"

namespace console {

// Services, rules and backend servers by data centre.
std::string RenderOverview(const DocumentInForce& document);

// `report` is plain text, `chart` an <svg> element or empty.
std::string RenderReport(std::string_view report, const std::string& chart);

}  // namespace console

#endif  // LIBCONSOLE_OVERVIEW_PAGE_H_
