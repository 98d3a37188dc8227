#include <doctest/doctest.h>

#include "LibPlatform/submission.h"

using base::ConfigurationVersion;
using platform::ObjectVersion;
using platform::Submission;
using platform::SubmissionEffect;
using platform::SubmissionEvent;
using platform::SubmissionHistory;
using platform::SubmissionRecord;
using std::chrono::seconds;

namespace {

const base::TimePoint kStart = base::TimePoint() + seconds(1000);
const SubmissionRecord kOwn{platform::SubmissionId("own"),
                            ConfigurationVersion(5)};
const SubmissionRecord kOther{platform::SubmissionId("other"),
                              ConfigurationVersion(5)};

template <typename Alternative, typename Variant>
Alternative As(const Variant& variant) {
  REQUIRE(std::holds_alternative<Alternative>(variant));
  return std::get<Alternative>(variant);
}

// A submission on base version 5 in virtual time. Handle skips the submission's
// waits.
class SubmissionFixture {
 public:
  SubmissionEffect Handle(const SubmissionEvent& event) {
    SubmissionEffect effect = m_submission.Handle(event, m_now);
    if (const auto* wait = std::get_if<platform::WaitUntil>(&effect)) {
      m_now = wait->m_time;
      effect = m_submission.Handle(platform::WaitEnded{}, m_now);
    }
    return effect;
  }
  SubmissionEffect EndUpdate(const platform::WriteResult& result) {
    return Handle(platform::UpdateEnded{result});
  }
  SubmissionEffect ReadDocument(std::uint64_t version,
                                const SubmissionHistory& history) {
    return Handle(
        platform::DocumentRead{ConfigurationVersion(version), history});
  }

  Submission m_submission{kOwn, {}, base::Random(1)};
  base::TimePoint m_now = kStart;
};

}  // namespace

TEST_CASE(
    "the first response decides whether a submission is accepted or refused") {
  SubmissionFixture accepted;
  As<platform::SendUpdate>(accepted.Handle(platform::SubmissionStarted{}));
  const auto settled = As<platform::Settled>(
      accepted.EndUpdate(platform::Written{ObjectVersion(6)}));
  CHECK(As<platform::Accepted>(settled.m_result).m_version ==
        ConfigurationVersion(6));

  SubmissionFixture refused;
  refused.Handle(platform::SubmissionStarted{});
  const auto conflict = As<platform::Settled>(
      refused.EndUpdate(platform::Conflict{ObjectVersion(8)}));
  CHECK(As<platform::RefusedByConflict>(conflict.m_result).m_current ==
        ConfigurationVersion(8));
}

TEST_CASE(
    "a lost response is settled although a later update has replaced the "
    "document") {
  SubmissionFixture fixture;
  fixture.Handle(platform::SubmissionStarted{});
  As<platform::ReadBack>(fixture.EndUpdate(platform::PossiblyWritten{}));
  CHECK(fixture.m_submission.IsResolvingOutcome());

  const auto history = SubmissionHistory().WithSubmission(kOwn).WithSubmission(
      {platform::SubmissionId("later"), ConfigurationVersion(6)});
  const auto settled = As<platform::Settled>(fixture.ReadDocument(7, history));

  CHECK(As<platform::Accepted>(settled.m_result).m_version ==
        ConfigurationVersion(6));
}

TEST_CASE("an update in flight is not treated as one that had no effect") {
  SubmissionFixture fixture;
  fixture.Handle(platform::SubmissionStarted{});
  fixture.EndUpdate(platform::PossiblyWritten{});

  // The document still has the base version, so the same update is sent again.
  // Its conflict contains version 6, so a lagging read of version 5 does not
  // decide.
  As<platform::SendUpdate>(fixture.ReadDocument(5, {}));
  As<platform::ReadBack>(
      fixture.EndUpdate(platform::Conflict{ObjectVersion(6)}));
  As<platform::ReadBack>(fixture.ReadDocument(5, {}));
  const auto settled = As<platform::Settled>(
      fixture.ReadDocument(6, SubmissionHistory().WithSubmission(kOwn)));

  CHECK(std::holds_alternative<platform::Accepted>(settled.m_result));
}

TEST_CASE(
    "after a lost response, another submission on the same base version is a "
    "conflict") {
  SubmissionFixture fixture;
  fixture.Handle(platform::SubmissionStarted{});
  fixture.EndUpdate(platform::PossiblyWritten{});

  const auto settled = As<platform::Settled>(
      fixture.ReadDocument(6, SubmissionHistory().WithSubmission(kOther)));

  CHECK(As<platform::RefusedByConflict>(settled.m_result).m_current ==
        ConfigurationVersion(6));
}

TEST_CASE(
    "a lost response ends as unknown at the deadline, a rate-limited update "
    "as not submitted") {
  SubmissionFixture lost;
  lost.Handle(platform::SubmissionStarted{});
  SubmissionEffect effect = lost.EndUpdate(platform::PossiblyWritten{});
  while (!std::holds_alternative<platform::Settled>(effect))
    effect = lost.Handle(platform::ReadFailed{});
  CHECK(std::holds_alternative<platform::OutcomeUnknown>(
      *lost.m_submission.result()));
  CHECK(lost.m_now <= kStart + platform::SubmissionPolicy().m_deadline);

  SubmissionFixture limited;
  effect = limited.Handle(platform::SubmissionStarted{});
  while (!std::holds_alternative<platform::Settled>(effect))
    effect = limited.EndUpdate(platform::RateLimited{});
  CHECK(std::holds_alternative<platform::NotSubmitted>(
      *limited.m_submission.result()));
}
