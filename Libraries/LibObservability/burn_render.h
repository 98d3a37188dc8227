// Renders burn statuses as text and as inline SVG.

#ifndef LIBOBSERVABILITY_BURN_RENDER_H_
#define LIBOBSERVABILITY_BURN_RENDER_H_

#include <string>
#include <vector>

#include "LibObservability/burn_status.h"

namespace observability {

// Returns a table in aligned columns: a header row, and for each status a row
// with the burn rate and the counts (bad/all) of each window and the alert.
std::string RenderBurnText(const std::vector<BurnStatus>& statuses);

// Returns an <svg> element with a bar for each window of each status and
// vertical lines at the burn rates of kBurnAlertRules. Names are escaped.
std::string RenderBurnSvg(const std::vector<BurnStatus>& statuses);

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_RENDER_H_
