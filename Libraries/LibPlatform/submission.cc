#include "LibPlatform/submission.h"

#include <algorithm>
#include <utility>

#include "LibBase/overloaded.h"

namespace platform {

Submission::Submission(SubmissionRecord record,
                       SubmissionPolicy policy,
                       base::Random random)
    : m_record(std::move(record)),
      m_policy(policy),
      m_random(random),
      m_back_off(policy.m_initial_back_off, policy.m_maximum_back_off) {}

SubmissionEffect Submission::Handle(const SubmissionEvent& event,
                                    base::TimePoint now) {
  if (m_result)
    return Settled{*m_result};
  return std::visit(
      base::Overloaded{
          [&](const SubmissionStarted&) {
            m_deadline = now + m_policy.m_deadline;
            return Attempt(Step::kUpdate);
          },
          [&](const UpdateEnded& ended) {
            return OnUpdateEnded(ended.m_result, now);
          },
          [&](const DocumentRead& read) { return OnRead(read, now); },
          [&](const ReadFailed&) { return AttemptLater(Step::kRead, now); },
          [&](const WaitEnded&) { return Attempt(m_next_step); },
      },
      event);
}

SubmissionEffect Submission::OnUpdateEnded(const WriteResult& result,
                                           base::TimePoint now) {
  return std::visit(
      base::Overloaded{
          [&](const Written& written) {
            return Settle(Accepted{
                base::ConfigurationVersion(written.m_version.value())});
          },
          [&](const Conflict& conflict) {
            return OnConflict(
                base::ConfigurationVersion(conflict.m_current.value()), now);
          },
          [&](const Rejected& rejected) {
            if (m_is_outcome_unknown)
              return AttemptLater(Step::kRead, now);
            return Settle(RefusedByPlatform{rejected.m_http_status});
          },
          [&](const RateLimited&) { return AttemptLater(Step::kUpdate, now); },
          [&](const Unavailable&) { return AttemptLater(Step::kUpdate, now); },
          [&](const PossiblyWritten&) {
            m_is_outcome_unknown = true;
            return AttemptLater(Step::kRead, now);
          },
      },
      result);
}

// A conflict on the first update is final. On a later update, the conflicting
// version may come from an earlier update of this submission, so the document
// is read back.
SubmissionEffect Submission::OnConflict(base::ConfigurationVersion current,
                                        base::TimePoint now) {
  if (m_update_count == 1)
    return Settle(RefusedByConflict{current});
  const bool is_first_conflict = !m_highest_conflict;
  m_highest_conflict = std::max(m_highest_conflict.value_or(current), current);
  return is_first_conflict ? Attempt(Step::kRead)
                           : AttemptLater(Step::kRead, now);
}

SubmissionEffect Submission::OnRead(const DocumentRead& read,
                                    base::TimePoint now) {
  if (m_highest_conflict && read.m_version < *m_highest_conflict)
    return AttemptLater(Step::kRead, now);
  const auto outcome = read.m_history.OutcomeOf(m_record, read.m_version);
  return std::visit(
      base::Overloaded{
          [&](const SubmissionHistory::TookEffect& effect) {
            return Settle(Accepted{effect.m_version});
          },
          [&](const SubmissionHistory::Superseded&) {
            return Settle(RefusedByConflict{read.m_version});
          },
          [&](const SubmissionHistory::NotYetApplied&) {
            return AttemptLater(Step::kUpdate, now);
          },
          [&](const SubmissionHistory::NoLongerRecorded&) { return GiveUp(); },
      },
      outcome);
}

SubmissionEffect Submission::Attempt(Step step) {
  if (step == Step::kRead)
    return ReadBack{};
  ++m_update_count;
  return SendUpdate{m_record.m_base};
}

SubmissionEffect Submission::AttemptLater(Step step, base::TimePoint now) {
  const base::TimePoint time = now + m_back_off.Next(m_random);
  if (time >= m_deadline)
    return GiveUp();
  m_next_step = step;
  return WaitUntil{time};
}

SubmissionEffect Submission::GiveUp() {
  if (m_is_outcome_unknown)
    return Settle(OutcomeUnknown{});
  if (m_highest_conflict)
    return Settle(RefusedByConflict{*m_highest_conflict});
  return Settle(NotSubmitted{});
}

SubmissionEffect Submission::Settle(SubmissionResult result) {
  m_result = result;
  return Settled{result};
}

}  // namespace platform
