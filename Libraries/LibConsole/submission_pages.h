// The pages of a session after the editor: review and outcome.

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

// Shows the difference to `previous` and the warnings, and asks for the token.
// `error` is shown above if it is not empty.
std::string RenderReview(const Draft& draft,
                         const configuration::Document& previous,
                         const configuration::CheckedDocument& checked,
                         std::string_view error);

// Shows what the other operator has changed since the session began.
std::string RenderConflict(const Draft& draft, const DocumentInForce& current);

// Shows any outcome; SubmitConflict as RenderConflict does.
std::string RenderOutcome(const Draft& draft, const SubmitOutcome& outcome);

// Shows whether the submission `id` on `base` is known to have taken effect.
std::string RenderSubmission(std::string_view id,
                             base::ConfigurationVersion base,
                             const DocumentInForce& current);

}  // namespace console

#endif  // LIBCONSOLE_SUBMISSION_PAGES_H_
