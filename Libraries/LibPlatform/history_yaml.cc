#include "LibPlatform/history_yaml.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <utility>

#include "LibPlatform/error.h"

namespace platform {

namespace {

constexpr const char* kSubmission = "submission";
constexpr const char* kBaseVersion = "base_version";
constexpr const char* kPreviousSubmissions = "previous_submissions";

// These functions throw YAML::Exception, caught by their callers below.

SubmissionRecord RecordOf(const YAML::Node& node) {
  return {SubmissionId(node[kSubmission].as<std::string>()),
          base::ConfigurationVersion(node[kBaseVersion].as<std::uint64_t>())};
}

void PutRecord(YAML::Node& node, const SubmissionRecord& record) {
  node[kSubmission] = record.m_id.value();
  node[kBaseVersion] = record.m_base.value();
}

SubmissionHistory HistoryOf(const YAML::Node& document) {
  std::vector<SubmissionRecord> records;
  if (document[kSubmission])
    records.push_back(RecordOf(document));
  for (const YAML::Node& previous : document[kPreviousSubmissions]) {
    if (records.size() == SubmissionHistory::kMaximumRecords)
      break;
    records.push_back(RecordOf(previous));
  }
  return SubmissionHistory(std::move(records));
}

void PutHistory(YAML::Node& document, const SubmissionHistory& history) {
  document.remove(kSubmission);
  document.remove(kBaseVersion);
  document.remove(kPreviousSubmissions);
  const auto& records = history.records();
  if (records.empty())
    return;
  PutRecord(document, records.front());
  for (std::size_t index = 1; index < records.size(); ++index) {
    YAML::Node previous;
    PutRecord(previous, records[index]);
    document[kPreviousSubmissions].push_back(previous);
  }
}

}  // namespace

base::Outcome<SubmissionHistory> ReadHistory(const std::string& document) {
  try {
    const YAML::Node node = YAML::Load(document);
    if (!node.IsMap())
      return Error::kNotAMapping;
    return HistoryOf(node);
  } catch (const YAML::Exception&) {
    return Error::kMalformedHistory;
  }
}

base::Outcome<std::string> WithHistory(const std::string& document,
                                       const SubmissionHistory& history) {
  try {
    YAML::Node node = YAML::Load(document);
    if (!node.IsMap())
      return Error::kNotAMapping;
    PutHistory(node, history);
    return YAML::Dump(node) + "\n";
  } catch (const YAML::Exception&) {
    return Error::kNotAMapping;
  }
}

}  // namespace platform
