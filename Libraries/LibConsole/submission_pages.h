// The pages that follow the editor: review, conflict and submission outcome.

#ifndef LIBCONSOLE_SUBMISSION_PAGES_H_
#define LIBCONSOLE_SUBMISSION_PAGES_H_

#include <string>
#include <string_view>

#include "LibConfiguration/document.h"
#include "LibConfiguration/document_reader.h"
#include "LibConsole/document_in_force.h"
#include "LibConsole/draft.h"
#include "LibConsole/submit_outcome.h"

namespace console {

// Shows the difference to `previous`, the warnings, and a form that asks for
// the operator token. If `error` is not empty, shows it at the top.
std::string RenderReview(const Draft& draft,
                         const configuration::Document& previous,
                         const configuration::CheckedDocument& checked,
                         std::string_view error);

// Shows what another operator changed since editing started, and offers to
// rebase the draft on `current`.
std::string RenderConflict(const Draft& draft, const DocumentInForce& current);

// Shows the outcome of a submission. For SubmitConflict the page is that of
// RenderConflict.
std::string RenderOutcome(const Draft& draft, const SubmitOutcome& outcome);

// Shows whether `current` records that the submission `id`, which was based on
// version `base`, took effect.
std::string RenderSubmission(std::string_view id,
                             base::ConfigurationVersion base,
                             const DocumentInForce& current);

}  // namespace console

#endif  // LIBCONSOLE_SUBMISSION_PAGES_H_
