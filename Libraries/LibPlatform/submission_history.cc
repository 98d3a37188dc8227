#include "LibPlatform/submission_history.h"

#include <algorithm>
#include <utility>

namespace platform {

SubmissionHistory::SubmissionHistory(std::vector<SubmissionRecord> records)
    : m_records(std::move(records)) {
  if (m_records.size() > kMaximumRecords)
    m_records.resize(kMaximumRecords);
}

SubmissionHistory::SubmissionOutcome SubmissionHistory::OutcomeOf(
    const SubmissionRecord& record,
    base::ConfigurationVersion version) const {
  // The version that the submission `entry` produced.
  base::ConfigurationVersion produced = version;
  for (const SubmissionRecord& entry : m_records) {
    if (entry == record)
      return TookEffect{produced};
    if (entry.m_base == record.m_base)
      return Superseded{};
    produced = entry.m_base;
  }
  if (version <= record.m_base)
    return NotYetApplied{};
  return NoLongerRecorded{};
}

SubmissionHistory SubmissionHistory::WithSubmission(
    const SubmissionRecord& record) const {
  std::vector<SubmissionRecord> records{record};
  const std::size_t kept = std::min(m_records.size(), kMaximumRecords - 1);
  records.insert(records.end(), m_records.begin(),
                 m_records.begin() + static_cast<std::ptrdiff_t>(kept));
  return SubmissionHistory(std::move(records));
}

}  // namespace platform
