#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "LibConfiguration/document_reader.h"
#include "LibPlatform/document_history.h"
#include "LibPlatform/submission_history.h"

using base::ConfigurationVersion;
using platform::SubmissionHistory;
using platform::SubmissionId;
using platform::SubmissionRecord;

namespace {

SubmissionRecord Record(const std::string& id, std::uint64_t base_version) {
  return {SubmissionId(id), ConfigurationVersion(base_version)};
}

}  // namespace

TEST_CASE("the history shows the version that a replaced submission produced") {
  const SubmissionHistory history = SubmissionHistory()
                                        .WithSubmission(Record("a", 0))
                                        .WithSubmission(Record("b", 4))
                                        .WithSubmission(Record("c", 9));
  const ConfigurationVersion version(12);

  const auto outcome = history.OutcomeOf(Record("b", 4), version);

  REQUIRE(std::holds_alternative<SubmissionHistory::TookEffect>(outcome));
  CHECK(std::get<SubmissionHistory::TookEffect>(outcome).m_version ==
        ConfigurationVersion(9));
  CHECK(std::holds_alternative<SubmissionHistory::Superseded>(
      history.OutcomeOf(Record("x", 4), version)));
  CHECK(std::holds_alternative<SubmissionHistory::NotYetApplied>(
      history.OutcomeOf(Record("x", 12), version)));
  CHECK(std::holds_alternative<SubmissionHistory::NoLongerRecorded>(
      history.OutcomeOf(Record("x", 5), version)));
}

TEST_CASE("the history is bounded and drops the oldest records") {
  SubmissionHistory history;
  for (std::uint64_t version = 0; version < 100; ++version)
    history = history.WithSubmission(Record("id", version));

  CHECK(history.records().size() == SubmissionHistory::kMaximumRecords);
  CHECK(std::holds_alternative<SubmissionHistory::NoLongerRecorded>(
      history.OutcomeOf(Record("x", 1), ConfigurationVersion(100))));
}

TEST_CASE("the history reads back from the document as written") {
  const SubmissionRecord second = Record("0017", 4);
  const SubmissionHistory first =
      SubmissionHistory().WithSubmission(Record("a", 0));

  const std::string text = platform::WriteSubmittedDocument({}, first, second);
  const auto reading = configuration::ReadDocument(text);

  REQUIRE(std::holds_alternative<configuration::Document>(reading));
  const auto& document = std::get<configuration::Document>(reading);
  CHECK(platform::HistoryOf(document).records() ==
        first.WithSubmission(second).records());
  CHECK(platform::HistoryOf({}).records().empty());
}

TEST_CASE("a document can contain a history of the maximum length") {
  SubmissionHistory history;
  for (std::uint64_t version = 0; version < 100; ++version)
    history = history.WithSubmission(Record("id", version));

  const std::string text =
      platform::WriteSubmittedDocument({}, history, Record("id", 100));
  const auto reading = configuration::ReadDocument(text);

  REQUIRE(std::holds_alternative<configuration::Document>(reading));
  CHECK(platform::HistoryOf(std::get<configuration::Document>(reading))
            .records()
            .size() == SubmissionHistory::kMaximumRecords);
}
