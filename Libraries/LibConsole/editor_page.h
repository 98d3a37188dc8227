// The page on which an operator edits a draft: services, their rules, and
// their backend servers by data centre.

#ifndef LIBCONSOLE_EDITOR_PAGE_H_
#define LIBCONSOLE_EDITOR_PAGE_H_

#include <string>

#include "LibConfiguration/problem.h"
#include "LibConsole/draft.h"

namespace console {

// Shows `problems` at the top and each one beside the field of its path.
std::string RenderEditor(const Draft& draft,
                         const configuration::Problems& problems);

}  // namespace console

#endif  // LIBCONSOLE_EDITOR_PAGE_H_
