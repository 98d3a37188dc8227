// Runs a ConfigurationWatcher on an io_context: asks the platform, keeps the
// timer, and hands on what the follower decides.

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

// Used on the thread that runs the io_context. The client must outlive it.
class ConfigurationWatcherDriver {
 public:
  // Whether the document was put in force.
  using DocumentCallback =
      std::function<bool(base::ConfigurationVersion, const std::string& body)>;
  // Asks for a document of a peer, to be answered by Handle with PeerDocument
  // or PeerPullFailed.
  using PullCallback = std::function<void(const PullFromPeer&)>;
  // Sends the peer a message that is answered by Handle with PeerDigest or
  // VersionConfirmed.
  using DigestRequestCallback = std::function<void(const RequestDigest&)>;

  ConfigurationWatcherDriver(asio::io_context& context,
                             PlatformClient& client,
                             std::string key,
                             ConfigurationWatcher watcher,
                             DocumentCallback on_document,
                             PullCallback on_pull,
                             DigestRequestCallback on_digest_request);
  // Cancels what is open.
  ~ConfigurationWatcherDriver();
  ConfigurationWatcherDriver(const ConfigurationWatcherDriver&) = delete;
  ConfigurationWatcherDriver& operator=(const ConfigurationWatcherDriver&) =
      delete;

  // Queries.
  const ConfigurationWatcher& watcher() const { return m_watcher; }

  // Commands.
  void Start();
  // Takes an event from the peers.
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
  // Expires with the driver; callbacks check it.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace platform

#endif  // LIBPLATFORM_CONFIGURATION_WATCHER_DRIVER_H_
