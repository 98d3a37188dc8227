#include "LibPlatform/document_history.h"

#include <utility>
#include <vector>

#include "LibConfiguration/document.h"
#include "LibConfiguration/document_writer.h"

namespace platform {

static_assert(SubmissionHistory::kMaximumRecords <=
              configuration::kMaxPreviousSubmissions + 1);

namespace {

SubmissionRecord RecordOf(const configuration::SubmissionEntry& entry) {
  return {SubmissionId(entry.m_id), entry.m_base_version};
}

configuration::SubmissionEntry EntryOf(const SubmissionRecord& record) {
  return {record.m_id.value(), record.m_base};
}

}  // namespace

SubmissionHistory HistoryOf(const configuration::Document& document) {
  std::vector<SubmissionRecord> records;
  if (!document.m_submission.m_id.empty())
    records.push_back(RecordOf(document.m_submission));
  for (const auto& entry : document.m_previous_submissions)
    records.push_back(RecordOf(entry));
  return SubmissionHistory(std::move(records));
}

std::string WriteSubmittedDocument(configuration::Document document,
                                   const SubmissionHistory& previous,
                                   const SubmissionRecord& record) {
  document.m_submission = EntryOf(record);
  document.m_previous_submissions.clear();
  const SubmissionHistory history = previous.WithSubmission(record);
  for (const SubmissionRecord& entry : history.records()) {
    if (entry != record)
      document.m_previous_submissions.push_back(EntryOf(entry));
  }
  return configuration::WriteDocument(document);
}

}  // namespace platform
