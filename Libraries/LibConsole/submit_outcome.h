// What became of a document that an operator submitted.

#ifndef LIBCONSOLE_SUBMIT_OUTCOME_H_
#define LIBCONSOLE_SUBMIT_OUTCOME_H_

#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibConsole/document_in_force.h"

namespace console {

// The document takes effect as this version.
struct SubmitAccepted {
  base::ConfigurationVersion m_version;
};

// The platform or the balancer refused it for good; nothing took effect.
struct SubmitRefused {
  std::string m_reason;
};

// Another document took effect first; this one never will.
struct SubmitConflict {
  DocumentInForce m_current;
};

// The platform could not be reached; nothing took effect.
struct SubmitUnavailable {};

// The answer was lost; the submission may or may not have taken effect.
struct SubmitUnknown {
  std::string m_submission;
};

using SubmitOutcome = std::variant<SubmitAccepted,
                                   SubmitRefused,
                                   SubmitConflict,
                                   SubmitUnavailable,
                                   SubmitUnknown>;

}  // namespace console

#endif  // LIBCONSOLE_SUBMIT_OUTCOME_H_
