// Runs a ConfigurationFollower on an io_context: asks the platform, keeps the
// timer, and hands on what the follower decides.

#ifndef LIBPLATFORM_FOLLOWER_DRIVER_H_
#define LIBPLATFORM_FOLLOWER_DRIVER_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibHttp/client.h"
#include "LibPlatform/configuration_follower.h"
#include "LibPlatform/platform_client.h"

namespace platform {

// Used on the thread that runs the io_context. The client must outlive it.
class FollowerDriver {
 public:
  // Whether the document was put in force.
  using DocumentCallback =
      std::function<bool(base::ConfigurationVersion, const std::string& body)>;
  // Asks for a document of a peer, to be answered by Handle with PeerDocument
  // or PeerPullFailed.
  using PullCallback = std::function<void(const PullFromPeer&)>;
  // Sends the peer a message that is answered by Handle with PeerDigest or
  // VersionConfirmed.
  using ProbeCallback = std::function<void(const ProbePeer&)>;

  FollowerDriver(asio::io_context& context,
                 PlatformClient& client,
                 std::string key,
                 ConfigurationFollower follower,
                 DocumentCallback on_document,
                 PullCallback on_pull,
                 ProbeCallback on_probe);
  // Cancels what is open.
  ~FollowerDriver();
  FollowerDriver(const FollowerDriver&) = delete;
  FollowerDriver& operator=(const FollowerDriver&) = delete;

  // Queries.
  const ConfigurationFollower& follower() const { return m_follower; }

  // Commands.
  void Start();
  // Takes an event from the peers.
  void Handle(const FollowerEvent& event);

 private:
  void Apply(const FollowerEffect& effect);
  void Ask(const AskPlatform& ask);
  void OnAnswer(AskId id, ReadResult result);
  void ArmTimer();

  PlatformClient& m_client;
  std::string m_key;
  ConfigurationFollower m_follower;
  DocumentCallback m_on_document;
  PullCallback m_on_pull;
  ProbeCallback m_on_probe;
  asio::steady_timer m_timer;
  std::map<AskId, http::RequestId> m_requests;
  // Expires with the driver; callbacks check it.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace platform

#endif  // LIBPLATFORM_FOLLOWER_DRIVER_H_
