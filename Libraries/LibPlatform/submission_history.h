// The submissions that led to a configuration document. The document contains
// its history. A writer that lost the response to its update reads the history
// to find out whether the update took effect, even if a later submission has
// replaced the document.
//
// Each version of the document is written by a conditional update of its base
// version, so at most one submission takes effect on each base version. A
// submission on base version B took effect if and only if the history's record
// with base version B is the record of that submission.

#ifndef LIBPLATFORM_SUBMISSION_HISTORY_H_
#define LIBPLATFORM_SUBMISSION_HISTORY_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/outcome.h"
#include "LibBase/strong_id.h"

namespace platform {

// A random id that the console generates for each submission.
using SubmissionId = base::StrongId<struct SubmissionIdTag, std::string>;

// One submission and the version of the document that the submission replaced.
// The version is zero if the submission created the document.
struct SubmissionRecord {
  SubmissionId m_id;
  base::ConfigurationVersion m_base;

  friend bool operator==(const SubmissionRecord&,
                         const SubmissionRecord&) = default;
};

class SubmissionHistory {
 public:
  // The submission took effect as this version.
  struct TookEffect {
    base::ConfigurationVersion m_version;
  };
  // Another submission took effect on the same base version, so this submission
  // can no longer take effect.
  struct Superseded {};
  // The document still has the base version, or an older version from a lagging
  // read.
  struct NotYetApplied {};
  // The document is newer than the base version, and its history has no record
  // with that base version.
  struct NoLongerRecorded {};
  using SubmissionOutcome =
      std::variant<TookEffect, Superseded, NotYetApplied, NoLongerRecorded>;

  SubmissionHistory() = default;
  // `records` are ordered newest first. Records beyond kMaximumRecords are
  // dropped.
  explicit SubmissionHistory(std::vector<SubmissionRecord> records);

  // Queries.
  const std::vector<SubmissionRecord>& records() const { return m_records; }
  // Returns the outcome of the submission `record`. This history must be the
  // history of the document at `version`.
  SubmissionOutcome OutcomeOf(const SubmissionRecord& record,
                              base::ConfigurationVersion version) const;
  // Returns the history of the document that the submission `record` writes.
  // This history must be the history of the document at record.m_base.
  SubmissionHistory WithSubmission(const SubmissionRecord& record) const;

  static constexpr std::size_t kMaximumRecords = 32;

 private:
  std::vector<SubmissionRecord> m_records;
};

}  // namespace platform

#endif  // LIBPLATFORM_SUBMISSION_HISTORY_H_
