// Applies the changes of a draft to a version that took effect while the
// operator was editing.

#ifndef LIBCONSOLE_DRAFT_REBASE_H_
#define LIBCONSOLE_DRAFT_REBASE_H_

#include "LibConsole/document_in_force.h"
#include "LibConsole/draft.h"

namespace console {

// Merges three ways: the base document of the draft, the draft, and `current`.
// A value that the draft did not change is taken from `current`; a value that
// both changed is taken from the draft. Services and backend servers are
// matched by name. A list in which a name is missing or repeated is taken from
// the draft. The base version and the base document of the result are those of
// `current`.
Draft RebaseDraft(const Draft& draft, const DocumentInForce& current);

}  // namespace console

#endif  // LIBCONSOLE_DRAFT_REBASE_H_
