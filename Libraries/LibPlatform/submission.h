// Submits one document by a conditional update with a unique submission id, and
// determines whether the update took effect if the response was lost. The class
// does no I/O: Handle receives events and returns effects.
//
// All updates of a submission carry the same id and the same base version, so
// at most one of them can take effect, even if it arrives late. After a lost
// response the document is read back; its history shows whether the update took
// effect (see SubmissionHistory). If the read still returns the base version,
// the read may lag or the update may still be in flight. Then the same update
// is sent again, and its response decides: a success, or a conflict with the
// current version. After a conflict, reads that return an older version are
// ignored.

#ifndef LIBPLATFORM_SUBMISSION_H_
#define LIBPLATFORM_SUBMISSION_H_

#include <chrono>
#include <optional>
#include <variant>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlatform/back_off.h"
#include "LibPlatform/submission_history.h"
#include "LibPlatform/write_result.h"

namespace platform {

// Final results.

// The submission took effect as m_version.
struct Accepted {
  base::ConfigurationVersion m_version;
};
// Another submission took effect on the same base version. `m_current` is the
// version in force, which includes the other submission.
struct RefusedByConflict {
  base::ConfigurationVersion m_current;
};
// The platform refuses the update permanently.
struct RefusedByPlatform {
  std::uint16_t m_http_status = 0;
};
// No update took effect: each update until the deadline failed as RateLimited
// or Unavailable.
struct NotSubmitted {};
// A response was lost, and the outcome was not determined before the deadline.
struct OutcomeUnknown {};
using SubmissionResult = std::variant<Accepted,
                                      RefusedByConflict,
                                      RefusedByPlatform,
                                      NotSubmitted,
                                      OutcomeUnknown>;

// Effects.

// Send the document as an update of version m_base and report UpdateEnded.
struct SendUpdate {
  base::ConfigurationVersion m_base;
};
// Read the document and report DocumentRead or ReadFailed.
struct ReadBack {};
// Wait until m_time and report WaitEnded.
struct WaitUntil {
  base::TimePoint m_time;
};
// The submission has ended; no event is expected.
struct Settled {
  SubmissionResult m_result;
};
using SubmissionEffect = std::variant<SendUpdate, ReadBack, WaitUntil, Settled>;

// Events.
struct SubmissionStarted {};
struct UpdateEnded {
  WriteResult m_result;
};
// m_version is zero if the document is absent.
struct DocumentRead {
  base::ConfigurationVersion m_version;
  SubmissionHistory m_history;
};
// The read failed or returned a malformed document.
struct ReadFailed {};
struct WaitEnded {};
using SubmissionEvent = std::variant<SubmissionStarted,
                                     UpdateEnded,
                                     DocumentRead,
                                     ReadFailed,
                                     WaitEnded>;

struct SubmissionPolicy {
  // No retry starts later than this time after SubmissionStarted. The read
  // after the first conflict starts at once, even after the deadline.
  base::Duration m_deadline = std::chrono::seconds(15);
  // The bounds of the delay before a retry, see BackOff.
  base::Duration m_initial_back_off = std::chrono::milliseconds(50);
  base::Duration m_maximum_back_off = std::chrono::seconds(2);
};

class Submission {
 public:
  Submission(SubmissionRecord record,
             SubmissionPolicy policy,
             base::Random random);

  // Queries.
  // The final result, or nothing while the submission is in progress.
  const std::optional<SubmissionResult>& result() const { return m_result; }
  // True while the outcome of an update is unknown and the submission still
  // tries to determine that outcome.
  bool IsResolvingOutcome() const { return !m_result && m_is_outcome_unknown; }

  // Commands.
  // Handles one event and returns the next effect. Once the submission is
  // settled, any event returns the same result.
  SubmissionEffect Handle(const SubmissionEvent& event, base::TimePoint now);

 private:
  enum class Step { kUpdate, kRead };

  SubmissionEffect OnUpdateEnded(const WriteResult& result,
                                 base::TimePoint now);
  SubmissionEffect OnConflict(base::ConfigurationVersion current,
                              base::TimePoint now);
  SubmissionEffect OnRead(const DocumentRead& read, base::TimePoint now);
  // Returns the effect that starts `step`.
  SubmissionEffect Attempt(Step step);
  // Returns a wait before `step`, or gives up if the wait exceeds the deadline.
  SubmissionEffect AttemptLater(Step step, base::TimePoint now);
  // Settles the submission without another response: as OutcomeUnknown if a
  // response was lost, else as RefusedByConflict or NotSubmitted.
  SubmissionEffect GiveUp();
  SubmissionEffect Settle(SubmissionResult result);

  SubmissionRecord m_record;
  SubmissionPolicy m_policy;
  base::Random m_random;
  BackOff m_back_off;
  base::TimePoint m_deadline;
  Step m_next_step = Step::kUpdate;
  // The number of updates sent.
  std::uint64_t m_update_count = 0;
  // Whether the response to an update was lost.
  bool m_is_outcome_unknown = false;
  // The highest version of the document that a conflict response has reported.
  std::optional<base::ConfigurationVersion> m_highest_conflict;
  std::optional<SubmissionResult> m_result;
};

}  // namespace platform

#endif  // LIBPLATFORM_SUBMISSION_H_
