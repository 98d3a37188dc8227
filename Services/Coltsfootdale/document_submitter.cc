#include "document_submitter.h"

#include <fmt/format.h>
#include <asio/post.hpp>

#include <random>
#include <utility>
#include <variant>

#include "LibBase/overloaded.h"
#include "LibBase/random.h"
#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/document_writer.h"
#include "LibConfiguration/yaml_parser.h"
#include "LibPlatform/submission_driver.h"

namespace service {

namespace {

std::uint64_t RandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

// Draws 128 bits from the system, never from a seed: two processes with the
// same submission id would each treat the other's update as their own.
std::string RandomSubmissionId() {
  return fmt::format("{:016x}{:016x}", RandomNumber(), RandomNumber());
}

// Makes `entry` the document's submission and moves the former submission to
// the head of the previous ones.
void RecordSubmission(const configuration::SubmissionEntry& entry,
                      configuration::Document& document) {
  auto& previous = document.m_previous_submissions;
  if (!document.m_submission.m_id.empty())
    previous.insert(previous.begin(), document.m_submission);
  constexpr std::size_t kMaximumPreviousSubmissions =
      platform::SubmissionHistory::kMaximumRecords - 1;
  if (previous.size() > kMaximumPreviousSubmissions)
    previous.resize(kMaximumPreviousSubmissions);
  document.m_submission = entry;
}

}  // namespace

std::optional<console::DocumentInForce> ReadDocumentInForce(
    const platform::ReadResult& result) {
  if (std::holds_alternative<platform::Absent>(result))
    return console::DocumentInForce{};
  const auto* found = std::get_if<platform::Found>(&result);
  if (found == nullptr)
    return std::nullopt;
  auto reading = configuration::ReadDocument(found->m_body);
  auto* document = std::get_if<configuration::Document>(&reading);
  if (document == nullptr)
    return std::nullopt;
  return console::DocumentInForce{
      base::ConfigurationVersion(found->m_version.value()),
      std::move(*document)};
}

DocumentSubmitter::DocumentSubmitter(asio::io_context& context,
                                     platform::PlatformClient& client,
                                     base::Duration deadline)
    : m_context(context), m_client(client), m_deadline(deadline) {}

DocumentSubmitter::~DocumentSubmitter() = default;

void DocumentSubmitter::Submit(base::ConfigurationVersion base,
                               configuration::Document document,
                               Callback callback) {
  if (m_drivers.size() >= kMaxOpenSubmissions) {
    callback(console::SubmitUnavailable{});
    return;
  }
  const std::string id = RandomSubmissionId();
  RecordSubmission({id, base}, document);
  std::string body = configuration::WriteDocument(document);
  if (body.size() > configuration::kMaxTextBytes) {
    callback(console::SubmitRefused{"the document is too large"});
    return;
  }
  platform::Submission submission({platform::SubmissionId(id), base},
                                  {.m_deadline = m_deadline},
                                  base::Random(RandomNumber()));
  const Key key(m_next_key++);
  auto driver = std::make_unique<platform::SubmissionDriver>(
      m_context, m_client, std::string(kDocumentKey), std::move(body),
      std::move(submission),
      [this, key, id, callback = std::move(callback)](
          const platform::SubmissionResult& result) {
        OnResult(key, id, result, callback);
      });
  m_drivers.emplace(key, std::move(driver)).first->second->Start();
}

void DocumentSubmitter::OnResult(Key key,
                                 const std::string& id,
                                 const platform::SubmissionResult& result,
                                 const Callback& callback) {
  m_drivers.erase(key);
  std::visit(
      base::Overloaded{
          [&](const platform::Accepted& accepted) {
            callback(console::SubmitAccepted{accepted.m_version});
          },
          [&](const platform::RefusedByConflict&) { ReportConflict(callback); },
          [&](const platform::RefusedByPlatform& refused) {
            callback(console::SubmitRefused{
                fmt::format("the platform responded with HTTP status {}",
                            refused.m_http_status)});
          },
          [&](const platform::NotSubmitted&) {
            callback(console::SubmitUnavailable{});
          },
          [&](const platform::OutcomeUnknown&) {
            callback(console::SubmitUnknown{id});
          },
      },
      result);
}

void DocumentSubmitter::ReportConflict(const Callback& callback) {
  m_client.Get(kDocumentKey, [callback](const platform::ReadResult& result) {
    const auto current = ReadDocumentInForce(result);
    if (current)
      callback(console::SubmitConflict{*current});
    else
      callback(console::SubmitRefused{
          "another document took effect first, and it cannot be read"});
  });
}

}  // namespace service
