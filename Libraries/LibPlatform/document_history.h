// The submission history that a configuration document carries.

#ifndef LIBPLATFORM_DOCUMENT_HISTORY_H_
#define LIBPLATFORM_DOCUMENT_HISTORY_H_

#include <string>

#include "LibPlatform/submission_history.h"

namespace configuration {
struct Document;
}  // namespace configuration

namespace platform {

// Empty if the document was not submitted.
SubmissionHistory HistoryOf(const configuration::Document& document);

// Returns `document` as the text to submit: it is to replace the version
// record.m_base, whose history is `previous`. The document must be valid.
std::string WriteSubmittedDocument(configuration::Document document,
                                   const SubmissionHistory& previous,
                                   const SubmissionRecord& record);

}  // namespace platform

#endif  // LIBPLATFORM_DOCUMENT_HISTORY_H_
