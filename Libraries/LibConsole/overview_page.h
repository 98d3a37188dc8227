// The pages that only show: the version in force and the burn report.

#ifndef LIBCONSOLE_OVERVIEW_PAGE_H_
#define LIBCONSOLE_OVERVIEW_PAGE_H_

#include <string>

#include "LibConsole/document_in_force.h"
#include "LibConsole/rendered_burn_report.h"

namespace console {

// Services, rules and backend servers by data centre.
std::string RenderOverview(const DocumentInForce& document);

// The report on service-level burn.
std::string RenderReport(const RenderedBurnReport& report);

}  // namespace console

#endif  // LIBCONSOLE_OVERVIEW_PAGE_H_
