// Submits one document by one conditional update under an id of its own, and
// settles a lost answer. Free of I/O: events in, effects out.
//
// All attempts of a submission carry the same id and the same base version, so
// at most one of them can take effect, however late it arrives. After a lost
// answer the document is read back: its history tells (see
// SubmissionHistory). A read that still shows the base may lag, or the update
// may still be under way; then the same update is sent again, and its answer
// decides: success, or a conflict that names the version to read back.

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
struct Accepted {
  base::ConfigurationVersion m_version;
};
// Another submission won; it is part of `m_current`, the version in force.
struct RefusedByConflict {
  base::ConfigurationVersion m_current;
};
struct RefusedByPlatform {
  std::uint16_t m_http_status = 0;
};
// The platform could not be reached in time; the update had no effect.
struct NotSubmitted {};
// The answer was lost and could not be settled in time.
struct OutcomeUnknown {};
using SubmissionResult = std::variant<Accepted,
                                      RefusedByConflict,
                                      RefusedByPlatform,
                                      NotSubmitted,
                                      OutcomeUnknown>;

// What to do next.
struct SendUpdate {
  base::ConfigurationVersion m_base;
};
struct ReadBack {};
struct WaitUntil {
  base::TimePoint m_time;
};
struct Settled {
  SubmissionResult m_result;
};
using SubmissionEffect = std::variant<SendUpdate, ReadBack, WaitUntil, Settled>;

// What happened.
struct SubmissionStarted {};
struct UpdateEnded {
  WriteResult m_result;
};
struct DocumentRead {
  base::ConfigurationVersion m_version;
  SubmissionHistory m_history;
};
// The read failed, found nothing, or found a malformed document.
struct ReadFailed {};
struct WaitEnded {};
using SubmissionEvent = std::variant<SubmissionStarted,
                                     UpdateEnded,
                                     DocumentRead,
                                     ReadFailed,
                                     WaitEnded>;

struct SubmissionPolicy {
  // No attempt begins after this time from the start.
  base::Duration m_deadline = std::chrono::seconds(15);
  base::Duration m_initial_back_off = std::chrono::milliseconds(50);
  base::Duration m_maximum_back_off = std::chrono::seconds(2);
};

class Submission {
 public:
  Submission(SubmissionRecord record,
             SubmissionPolicy policy,
             base::Random random);

  // Queries.
  // Nothing while the submission is under way.
  const std::optional<SubmissionResult>& result() const { return m_result; }
  // True while the outcome of an update is unknown and being settled.
  bool IsResolvingOutcome() const { return !m_result && m_is_outcome_unknown; }

  // Commands.
  // Takes one event and returns the one thing to do next. Once settled, it
  // returns the same result for any event.
  SubmissionEffect Handle(const SubmissionEvent& event, base::TimePoint now);

 private:
  enum class Step { kUpdate, kRead };

  SubmissionEffect OnUpdateEnded(const WriteResult& result,
                                 base::TimePoint now);
  SubmissionEffect OnConflict(base::ConfigurationVersion current,
                              base::TimePoint now);
  SubmissionEffect OnRead(const DocumentRead& read, base::TimePoint now);
  SubmissionEffect Attempt(Step step);
  SubmissionEffect AttemptLater(Step step, base::TimePoint now);
  SubmissionEffect GiveUp();
  SubmissionEffect Settle(SubmissionResult result);

  SubmissionRecord m_record;
  SubmissionPolicy m_policy;
  base::Random m_random;
  BackOff m_back_off;
  base::TimePoint m_deadline;
  Step m_next_step = Step::kUpdate;
  // Updates sent so far.
  std::uint64_t m_update_count = 0;
  // An update's answer was lost.
  bool m_is_outcome_unknown = false;
  // The greatest version that a conflict has named.
  std::optional<base::ConfigurationVersion> m_highest_conflict;
  std::optional<SubmissionResult> m_result;
};

}  // namespace platform

#endif  // LIBPLATFORM_SUBMISSION_H_
