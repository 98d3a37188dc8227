// Checks that the result of a submission is never false. The simulated platform
// loses responses, delays updates, returns lagging reads and accepts updates of
// other writers.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "LibPlatform/submission.h"

using base::ConfigurationVersion;
using platform::ObjectVersion;
using platform::SubmissionHistory;
using platform::SubmissionRecord;

namespace {

class UnreliablePlatform {
 public:
  UnreliablePlatform(SubmissionRecord own, base::Random random)
      : m_own(std::move(own)), m_random(random) {
    m_documents.push_back({m_own.m_base, SubmissionHistory()});
  }

  platform::WriteResult Update(bool is_healthy) {
    const std::uint64_t fault = is_healthy ? 0 : m_random.Below(6);
    if (fault == 1)
      return platform::RateLimited{};
    if (fault == 2)
      return platform::Unavailable{};
    if (fault == 3) {
      ++m_delayed_updates;
      return platform::PossiblyWritten{};
    }
    const platform::WriteResult result = Apply(m_own);
    if (fault == 4)
      return platform::PossiblyWritten{};
    return result;
  }

  platform::SubmissionEvent Read(bool is_healthy) {
    if (!is_healthy && m_random.Below(3) == 0)
      return platform::ReadFailed{};
    const std::uint64_t lag =
        is_healthy ? 0 : m_random.Below(m_documents.size());
    const Document& document = m_documents[m_documents.size() - 1 - lag];
    return platform::DocumentRead{document.m_version, document.m_history};
  }

  // Randomly applies a delayed update, an update of another operator or
  // neither.
  void InjectRandomUpdate() {
    const std::uint64_t choice = m_random.Below(4);
    if (choice == 0 && m_delayed_updates > 0) {
      --m_delayed_updates;
      Apply(m_own);
    }
    if (choice == 1)
      Apply({platform::SubmissionId("other"), m_documents.back().m_version});
  }

  void DeliverDelayed() {
    while (m_delayed_updates > 0) {
      --m_delayed_updates;
      Apply(m_own);
    }
  }

  // The version that the submission produced, if it took effect.
  std::optional<ConfigurationVersion> OwnVersion() const {
    return m_own_version;
  }
  std::size_t VersionCount() const { return m_documents.size(); }

 private:
  struct Document {
    ConfigurationVersion m_version;
    SubmissionHistory m_history;
  };

  platform::WriteResult Apply(const SubmissionRecord& record) {
    const Document& current = m_documents.back();
    if (record.m_base != current.m_version)
      return platform::Conflict{ObjectVersion(current.m_version.value())};
    const ConfigurationVersion next(current.m_version.value() + 1 +
                                    m_random.Below(3));
    m_documents.push_back({next, current.m_history.WithSubmission(record)});
    if (record == m_own)
      m_own_version = next;
    return platform::Written{ObjectVersion(next.value())};
  }

  SubmissionRecord m_own;
  base::Random m_random;
  std::vector<Document> m_documents;
  std::optional<ConfigurationVersion> m_own_version;
  std::uint64_t m_delayed_updates = 0;
};

constexpr int kUnhealthySteps = 12;

platform::SubmissionResult RunSubmission(UnreliablePlatform& platform,
                                         const SubmissionRecord& own,
                                         std::uint64_t seed,
                                         bool recovers) {
  platform::Submission submission(own, {}, base::Random(seed));
  base::TimePoint now;
  platform::SubmissionEvent event = platform::SubmissionStarted{};
  for (int step = 0;; ++step) {
    const bool is_healthy = recovers && step >= kUnhealthySteps;
    const auto effect = submission.Handle(event, now);
    if (const auto* settled = std::get_if<platform::Settled>(&effect))
      return settled->m_result;
    platform.InjectRandomUpdate();
    if (const auto* wait = std::get_if<platform::WaitUntil>(&effect)) {
      now = wait->m_time;
      event = platform::WaitEnded{};
    } else if (std::holds_alternative<platform::SendUpdate>(effect)) {
      event = platform::UpdateEnded{platform.Update(is_healthy)};
    } else {
      event = platform.Read(is_healthy);
    }
  }
}

}  // namespace

TEST_CASE(
    "the result of a submission is never false under lost responses, delays "
    "and lag") {
  const bool holds = rc::check([](std::uint64_t seed, bool recovers) {
    const SubmissionRecord own{platform::SubmissionId("own"),
                               ConfigurationVersion(5)};
    UnreliablePlatform platform(own, base::Random(seed));

    const auto result = RunSubmission(platform, own, seed + 1, recovers);
    platform.DeliverDelayed();

    const auto* accepted = std::get_if<platform::Accepted>(&result);
    const bool is_unknown =
        std::holds_alternative<platform::OutcomeUnknown>(result);
    if (accepted)
      RC_ASSERT(platform.OwnVersion() == accepted->m_version);
    else if (!is_unknown)
      RC_ASSERT_FALSE(platform.OwnVersion().has_value());
    const bool is_recorded =
        platform.VersionCount() <= SubmissionHistory::kMaximumRecords;
    if (recovers && is_recorded)
      RC_ASSERT_FALSE(is_unknown);
  });

  CHECK(holds);
}
