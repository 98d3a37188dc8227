// Renders burn statuses as text and as inline SVG.

#ifndef LIBOBSERVABILITY_BURN_RENDER_H_
#define LIBOBSERVABILITY_BURN_RENDER_H_

#include <string>
#include <vector>

#include "LibObservability/burn_status.h"

namespace observability {

// A head line, and one line for each status with the burn rate and the counts
// (bad/all) over each window and the alert, in aligned columns.
std::string RenderBurnText(const std::vector<BurnStatus>& statuses);

// An <svg> element with a bar for each window of each status, and lines at the
// burn rates of kBurnRules. Names are escaped.
std::string RenderBurnSvg(const std::vector<BurnStatus>& statuses);

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_RENDER_H_
