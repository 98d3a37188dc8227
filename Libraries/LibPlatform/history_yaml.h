// Reads and writes the submission history in the fields of a YAML document:
//   submission: ID
//   base_version: NUMBER
//   previous_submissions:
//     - {submission: ID, base_version: NUMBER}   # newest first

#ifndef LIBPLATFORM_HISTORY_YAML_H_
#define LIBPLATFORM_HISTORY_YAML_H_

#include <string>

#include "LibBase/outcome.h"
#include "LibPlatform/submission_history.h"

namespace platform {

// Returns the history that `document` carries, empty if it has none.
base::Outcome<SubmissionHistory> ReadHistory(const std::string& document);

// Returns `document` with `history` in place of the one it carried.
base::Outcome<std::string> WithHistory(const std::string& document,
                                       const SubmissionHistory& history);

}  // namespace platform

#endif  // LIBPLATFORM_HISTORY_YAML_H_
