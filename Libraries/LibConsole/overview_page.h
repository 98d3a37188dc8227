// The read-only pages: the document in force and the burn report.

#ifndef LIBCONSOLE_OVERVIEW_PAGE_H_
#define LIBCONSOLE_OVERVIEW_PAGE_H_

#include <string>

#include "LibConsole/document_in_force.h"
#include "LibConsole/rendered_burn_report.h"

namespace console {

// Shows the services, their rules (placement, objectives and limits), and their
// backend servers grouped by data centre.
std::string RenderOverview(const DocumentInForce& document);

// Shows the burn report.
std::string RenderReport(const RenderedBurnReport& report);

}  // namespace console

#endif  // LIBCONSOLE_OVERVIEW_PAGE_H_
