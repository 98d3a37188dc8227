// The submissions that led to a configuration document. The document carries
// them, so that a writer whose answer was lost can tell later whether its own
// update took effect, even when another one has replaced it since.
//
// Each version of the document is written by a conditional update on its base
// version, so at most one submission ever succeeds on one base. A submission
// on base B took effect if and only if the record with base B is its own.

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

// Drawn at random by the console for each submission.
using SubmissionId = base::StrongId<struct SubmissionIdTag, std::string>;

// One submission and the version of the document that it replaced; zero if it
// created the document.
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
  // Another submission took effect on the same base, so this one never can.
  struct Superseded {};
  // The document is still the base, or an older one from a lagging read.
  struct NotYetApplied {};
  // The document is newer than the base and no longer tells.
  struct NoLongerRecorded {};
  using SubmissionOutcome =
      std::variant<TookEffect, Superseded, NotYetApplied, NoLongerRecorded>;

  SubmissionHistory() = default;
  // Newest first; those beyond kMaximumRecords are dropped.
  explicit SubmissionHistory(std::vector<SubmissionRecord> records);

  // Queries.
  const std::vector<SubmissionRecord>& records() const { return m_records; }
  // What became of `record`, if this history is that of the document at
  // `version`.
  SubmissionOutcome OutcomeOf(const SubmissionRecord& record,
                              base::ConfigurationVersion version) const;
  // The history of the document that `record` writes. This history must be
  // that of the document at record.m_base.
  SubmissionHistory WithSubmission(const SubmissionRecord& record) const;

  static constexpr std::size_t kMaximumRecords = 32;

 private:
  std::vector<SubmissionRecord> m_records;
};

}  // namespace platform

#endif  // LIBPLATFORM_SUBMISSION_HISTORY_H_
