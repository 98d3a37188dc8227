// Runs a ConfigurationWatcher on an io_context: sends its reads to the
// platform, runs its timer and passes its other effects to callbacks.

#ifndef LIBPLATFORM_CONFIGURATION_WATCHER_DRIVER_H_
#define LIBPLATFORM_CONFIGURATION_WATCHER_DRIVER_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibHttp/client.h"
#include "LibPlatform/configuration_watcher.h"
#include "LibPlatform/platform_client.h"

namespace platform {

// Used on the thread that runs the io_context. The client must outlive the
// driver.
class ConfigurationWatcherDriver {
 public:
  // Puts the document in force, or returns false to refuse it.
  using DocumentCallback =
      std::function<bool(base::ConfigurationVersion, const std::string& body)>;
  // Requests the document from a peer. The result must be passed to Handle as
  // PeerDocument or PeerPullFailed.
  using PullCallback = std::function<void(const PullFromPeer&)>;
  // Sends the peer a message that requests its digest. The reply must be passed
  // to Handle as PeerDigest or VersionConfirmed.
  using DigestRequestCallback = std::function<void(const RequestDigest&)>;

  // `key` is the key of the document in the platform's object API.
  ConfigurationWatcherDriver(asio::io_context& context,
                             PlatformClient& client,
                             std::string key,
                             ConfigurationWatcher watcher,
                             DocumentCallback on_document,
                             PullCallback on_pull,
                             DigestRequestCallback on_digest_request);
  // Cancels the open reads.
  ~ConfigurationWatcherDriver();
  ConfigurationWatcherDriver(const ConfigurationWatcherDriver&) = delete;
  ConfigurationWatcherDriver& operator=(const ConfigurationWatcherDriver&) =
      delete;

  // Queries.
  const ConfigurationWatcher& watcher() const { return m_watcher; }

  // Commands.
  // Starts the first read from the platform.
  void Start();
  // Passes an event to the watcher and applies the effects.
  void Handle(const WatcherEvent& event);

 private:
  void Apply(const WatcherEffect& effect);
  void Read(const ReadFromPlatform& read);
  void OnReadResult(ReadId id, ReadResult result);
  void ArmTimer();

  PlatformClient& m_client;
  std::string m_key;
  ConfigurationWatcher m_watcher;
  DocumentCallback m_on_document;
  PullCallback m_on_pull;
  DigestRequestCallback m_on_digest_request;
  asio::steady_timer m_timer;
  std::map<ReadId, http::RequestId> m_requests;
  // Expires with the driver. Callbacks check m_lifetime before they use the
  // driver.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace platform

#endif  // LIBPLATFORM_CONFIGURATION_WATCHER_DRIVER_H_
