#include "LibPlatform/submission_driver.h"

#include <asio/io_context.hpp>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibConfiguration/document_reader.h"
#include "LibPlatform/document_history.h"

namespace platform {

namespace {

// An absent document is read as version zero with an empty history.
SubmissionEvent EventOf(const ReadResult& result) {
  if (std::holds_alternative<Absent>(result))
    return DocumentRead{};
  const auto* found = std::get_if<Found>(&result);
  if (!found)
    return ReadFailed{};
  const auto reading = configuration::ReadDocument(found->m_body);
  const auto* document = std::get_if<configuration::Document>(&reading);
  if (!document)
    return ReadFailed{};
  return DocumentRead{base::ConfigurationVersion(found->m_version.value()),
                      HistoryOf(*document)};
}

}  // namespace

SubmissionDriver::SubmissionDriver(asio::io_context& context,
                                   PlatformClient& client,
                                   std::string key,
                                   std::string document,
                                   Submission submission,
                                   ResultCallback on_result)
    : m_client(client),
      m_key(std::move(key)),
      m_document(std::move(document)),
      m_submission(std::move(submission)),
      m_on_result(std::move(on_result)),
      m_timer(context) {}

SubmissionDriver::~SubmissionDriver() {
  m_client.Cancel(m_request);
}

void SubmissionDriver::Start() {
  Handle(SubmissionStarted{});
}

void SubmissionDriver::Handle(const SubmissionEvent& event) {
  const SubmissionEffect effect =
      m_submission.Handle(event, base::Clock::now());
  std::visit(
      base::Overloaded{
          [&](const SendUpdate& update) { Send(update.m_base); },
          [&](const ReadBack&) { Read(); },
          [&](const platform::WaitUntil& wait) { WaitUntil(wait.m_time); },
          [&](const Settled& settled) {
            // Call a copy: the callback may destroy this driver.
            const ResultCallback callback = m_on_result;
            callback(settled.m_result);
          },
      },
      effect);
}

void SubmissionDriver::Send(base::ConfigurationVersion base_version) {
  m_request = m_client.Put(
      m_key, ObjectVersion(base_version.value()), m_document,
      [this, lifetime = std::weak_ptr(m_lifetime)](const WriteResult& result) {
        if (!lifetime.expired())
          Handle(UpdateEnded{result});
      });
}

void SubmissionDriver::Read() {
  m_request = m_client.Get(m_key, [this, lifetime = std::weak_ptr(m_lifetime)](
                                      const ReadResult& result) {
    if (!lifetime.expired())
      Handle(EventOf(result));
  });
}

void SubmissionDriver::WaitUntil(base::TimePoint time) {
  m_timer.expires_at(time);
  m_timer.async_wait([this, lifetime = std::weak_ptr(m_lifetime)](
                         const std::error_code& error) {
    if (!error && !lifetime.expired())
      Handle(WaitEnded{});
  });
}

}  // namespace platform
