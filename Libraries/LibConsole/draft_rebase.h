// Carries the changes of a session over to a version that took effect
// meanwhile.

#ifndef LIBCONSOLE_DRAFT_REBASE_H_
#define LIBCONSOLE_DRAFT_REBASE_H_

#include "LibConsole/document_in_force.h"
#include "LibConsole/draft.h"

namespace console {

// Three-way merge of the document that the draft started from, the draft and
// `current`: what the draft did not change is taken from `current`, and what
// both changed from the draft. Services and backend servers are matched by
// name; a list in which a name is missing or repeated is taken from the draft.
// The result starts from `current`.
Draft RebaseDraft(const Draft& draft, const DocumentInForce& current);

}  // namespace console

#endif  // LIBCONSOLE_DRAFT_REBASE_H_
