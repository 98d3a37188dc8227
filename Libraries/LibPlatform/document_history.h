// Converts between a configuration document and its submission history.

#ifndef LIBPLATFORM_DOCUMENT_HISTORY_H_
#define LIBPLATFORM_DOCUMENT_HISTORY_H_

#include <string>

#include "LibPlatform/submission_history.h"

namespace configuration {
struct Document;
}  // namespace configuration

namespace platform {

// Returns the submission history of `document`. The history is empty if the
// document was not submitted.
SubmissionHistory HistoryOf(const configuration::Document& document);

// Returns the text that submits `document` as the replacement of the version
// record.m_base. `previous` is the history of that version. `document` must be
// valid.
std::string WriteSubmittedDocument(configuration::Document document,
                                   const SubmissionHistory& previous,
                                   const SubmissionRecord& record);

}  // namespace platform

#endif  // LIBPLATFORM_DOCUMENT_HISTORY_H_
