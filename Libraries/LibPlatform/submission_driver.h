// Runs one Submission on an io_context: sends its updates, reads the document
// back and waits, as the effects of the Submission demand.

#ifndef LIBPLATFORM_SUBMISSION_DRIVER_H_
#define LIBPLATFORM_SUBMISSION_DRIVER_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "LibPlatform/platform_client.h"
#include "LibPlatform/submission.h"

namespace platform {

// Used on the thread that runs the io_context. The client must outlive the
// driver.
class SubmissionDriver {
 public:
  using ResultCallback = std::function<void(const SubmissionResult&)>;

  // `key` is the key of the document in the platform's object API. `document`
  // is the text that WriteSubmittedDocument returned. `on_result` is called
  // once and may destroy the driver.
  SubmissionDriver(asio::io_context& context,
                   PlatformClient& client,
                   std::string key,
                   std::string document,
                   Submission submission,
                   ResultCallback on_result);
  // Cancels the open request. A cancelled update may still take effect.
  ~SubmissionDriver();
  SubmissionDriver(const SubmissionDriver&) = delete;
  SubmissionDriver& operator=(const SubmissionDriver&) = delete;

  // Queries.
  const Submission& submission() const { return m_submission; }

  // Commands.
  void Start();

 private:
  void Handle(const SubmissionEvent& event);
  void Send(base::ConfigurationVersion base_version);
  void Read();
  void WaitUntil(base::TimePoint time);

  PlatformClient& m_client;
  std::string m_key;
  std::string m_document;
  Submission m_submission;
  ResultCallback m_on_result;
  asio::steady_timer m_timer;
  http::RequestId m_request;
  // Expires with the driver. Callbacks check m_lifetime before they use the
  // driver.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace platform

#endif  // LIBPLATFORM_SUBMISSION_DRIVER_H_
