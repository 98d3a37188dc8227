// The outcome of submitting a configuration document.

#ifndef LIBCONSOLE_SUBMIT_OUTCOME_H_
#define LIBCONSOLE_SUBMIT_OUTCOME_H_

#include <string>
#include <variant>

#include "LibBase/ids.h"
#include "LibConsole/document_in_force.h"

namespace console {

// The platform accepted the document; it takes effect as this version.
struct SubmitAccepted {
  base::ConfigurationVersion m_version;
};

// The platform or the balancer refused the document permanently; nothing took
// effect.
struct SubmitRefused {
  std::string m_reason;
};

// Another document took effect first. The submitted document will never take
// effect.
struct SubmitConflict {
  DocumentInForce m_current;
};

// The platform could not be reached; nothing took effect.
struct SubmitUnavailable {};

// The response of the platform was lost; the submission may or may not have
// taken effect.
struct SubmitUnknown {
  // The id of the submission. The page /submission shows whether the submission
  // took effect.
  std::string m_submission;
};

using SubmitOutcome = std::variant<SubmitAccepted,
                                   SubmitRefused,
                                   SubmitConflict,
                                   SubmitUnavailable,
                                   SubmitUnknown>;

}  // namespace console

#endif  // LIBCONSOLE_SUBMIT_OUTCOME_H_
