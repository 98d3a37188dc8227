// The page on which an operator edits a draft: services, their rules
// (placement, objectives and limits), and their backend servers grouped by data
// centre.

#ifndef LIBCONSOLE_EDITOR_PAGE_H_
#define LIBCONSOLE_EDITOR_PAGE_H_

#include <string>

#include "LibConfiguration/problem.h"
#include "LibConsole/draft.h"

namespace console {

// Renders the form for `draft`, with `problems` listed at the top and each
// problem also beside the field that it concerns.
std::string RenderEditor(const Draft& draft,
                         const configuration::Problems& problems);

}  // namespace console

#endif  // LIBCONSOLE_EDITOR_PAGE_H_
