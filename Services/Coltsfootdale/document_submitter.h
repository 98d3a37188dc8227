// Submits documents to the platform, for the console and the command line.

#ifndef SERVICES_COLTSFOOTDALE_DOCUMENT_SUBMITTER_H_
#define SERVICES_COLTSFOOTDALE_DOCUMENT_SUBMITTER_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/ids.h"
#include "LibBase/strong_id.h"
#include "LibBase/time.h"
#include "LibConfiguration/document.h"
#include "LibConsole/document_in_force.h"
#include "LibConsole/submit_outcome.h"
#include "LibPlatform/platform_client.h"
#include "LibPlatform/submission.h"

namespace platform {
class SubmissionDriver;
}  // namespace platform

namespace service {

// The key of the platform object that holds the configuration document.
inline constexpr std::string_view kDocumentKey = "coltsfootdale/document";

// Returns the document of a read from the platform: version zero and an empty
// document if the object does not exist, nothing if the read failed or the
// document is malformed.
std::optional<console::DocumentInForce> ReadDocumentInForce(
    const platform::ReadResult& result);

// Used on the thread that runs the io_context. The client must outlive the
// submitter.
class DocumentSubmitter {
 public:
  using Callback = std::function<void(const console::SubmitOutcome&)>;

  // Abandons a submission whose outcome is not known within `deadline`.
  DocumentSubmitter(asio::io_context& context,
                    platform::PlatformClient& client,
                    base::Duration deadline = std::chrono::seconds(15));
  // Drops the submissions in progress without calling their callbacks. The
  // platform may still apply them.
  ~DocumentSubmitter();
  DocumentSubmitter(const DocumentSubmitter&) = delete;
  DocumentSubmitter& operator=(const DocumentSubmitter&) = delete;

  // Submits `document` as the replacement of version `base` under a new
  // submission id and calls `callback` once. The submission entries of
  // `document` must be those of version `base`.
  void Submit(base::ConfigurationVersion base,
              configuration::Document document,
              Callback callback);

  // While so many submissions are in progress, Submit passes SubmitUnavailable
  // to the callback at once.
  static constexpr std::size_t kMaxOpenSubmissions = 8;

 private:
  // Identifies a submission in progress.
  using Key = base::StrongId<struct SubmitterKeyTag, std::uint64_t>;

  void OnResult(Key key,
                const std::string& id,
                const platform::SubmissionResult& result,
                const Callback& callback);
  // Reads the document that took effect first and reports it with the conflict.
  void ReportConflict(const Callback& callback);

  asio::io_context& m_context;
  platform::PlatformClient& m_client;
  base::Duration m_deadline;
  // The submissions in progress.
  std::map<Key, std::unique_ptr<platform::SubmissionDriver>> m_drivers;
  std::uint64_t m_next_key = 1;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_DOCUMENT_SUBMITTER_H_
