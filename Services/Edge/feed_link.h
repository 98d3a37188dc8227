// Connects a FeedMember with the network: answers the polls of peers, polls
// peers, and passes the changes that they send on.

#ifndef SERVICES_EDGE_FEED_LINK_H_
#define SERVICES_EDGE_FEED_LINK_H_

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/time.h"
#include "LibCatalog/known_view.h"
#include "LibCatalog/view_delta.h"
#include "LibEventLoop/http_text_server.h"
#include "LibFeed/confirmation_queue.h"
#include "LibFeed/feed_codec.h"
#include "LibFeed/feed_member.h"
#include "LibFeed/received_request.h"
#include "LibFeed/transfer_budget.h"
#include "LibHttp/client.h"

namespace edge {

// The part of the balancer that has the view of the store.
struct FeedOwner {
  std::function<feed::StoreStatus(base::TimePoint now)> m_status;
  // Returns the encoded changes of the view since the state that a peer knows.
  std::function<base::Outcome<std::string>(const catalog::KnownView& since)>
      m_changes;
  // Applies changes of a peer. Returns false if they do not follow the view.
  std::function<bool(base::Endpoint peer, const catalog::ViewDelta& changes)>
      m_apply;
  // A current reader has responded.
  std::function<void(const feed::StoreStatus& status)> m_on_reader_status;
  // The view is that of `reader`, or newer. It contains all changes made before
  // `current_as_of`.
  std::function<void(base::Endpoint reader, base::TimePoint current_as_of)>
      m_on_fed;
  // A message or a response was not used.
  std::function<void(base::Endpoint peer, std::string_view reason)>
      m_on_refused;
  // The load of this balancer and of the fleet that is sent with a request and
  // with a response; empty if the balancers do not exchange their load.
  std::function<std::string(bool is_reader, base::TimePoint now)>
      m_request_load;
  std::function<std::string(bool is_reader, base::TimePoint now)>
      m_response_load;
  // A request or a response contained load.
  std::function<void(base::Endpoint peer,
                     std::string_view load,
                     bool is_reader,
                     base::TimePoint now)>
      m_on_request_load;
  std::function<
      void(base::Endpoint peer, std::string_view load, base::TimePoint now)>
      m_on_response_load;
  // Has the store confirm that the view contains all changes made before
  // `needed_as_of`, if this balancer reads it.
  std::function<void(base::TimePoint needed_as_of)> m_confirm_view;
  // The member's role may have changed.
  std::function<void(base::TimePoint now)> m_on_role;
};

class FeedLink {
 public:
  // Binds UDP and TCP to `endpoint`; errors are those of the system.
  static base::Outcome<std::unique_ptr<FeedLink>> Create(
      asio::io_context& context,
      base::Endpoint endpoint,
      const feed::FeedSettings& settings,
      std::uint64_t seed,
      FeedOwner owner);
  FeedLink(const FeedLink&) = delete;
  FeedLink& operator=(const FeedLink&) = delete;

  // Queries.
  const feed::FeedMember& member() const { return m_member; }
  // The bytes of response bodies received so far, see http::Client.
  std::uint64_t ReceivedBodyBytes() const {
    return m_client.ReceivedBodyBytes();
  }

  // Commands.
  void Start();
  void SetSettings(const feed::FeedSettings& settings) {
    m_member.SetSettings(settings);
  }
  void OnPaused(base::TimePoint now);
  // Polls a reader soon, see FeedMember::RequestPoll.
  void RequestChanges(std::optional<base::TimePoint> needed_as_of,
                      base::TimePoint now);
  // Updates the role and sends the requests that are due. To be called when the
  // status of the store changes; a timer does the rest.
  void Advance();

 private:
  static constexpr std::size_t kReceiveBufferBytes =
      feed::kMaximumDatagramBytes + 1;

  // The last encoded delta. Most followers ask from the same revisions.
  struct CachedChanges {
    catalog::KnownView m_since;
    catalog::KnownView m_until;
    catalog::Revision m_manifest;
    std::string m_bytes;
  };

  FeedLink(asio::io_context& context,
           base::Endpoint endpoint,
           const feed::FeedSettings& settings,
           std::uint64_t seed,
           FeedOwner owner);

  void ArmTimer(const feed::StoreStatus& status, base::TimePoint now);
  void WaitForMessages();
  void ReceiveMessages();
  void HandleMessage(base::Endpoint source, std::string_view bytes);
  void HandleRequest(feed::ReceivedRequest request);
  // Answers the requests that no longer wait for a confirmation.
  void AnswerWaiting(const feed::StoreStatus& own, base::TimePoint now);
  void Answer(const feed::ReceivedRequest& received,
              const feed::StoreStatus& own,
              base::TimePoint now);
  void HandleResponse(base::Endpoint source,
                      const feed::FeedResponse& response);
  // Sends the message without its load if it does not fit into a datagram
  // otherwise.
  void Send(base::Endpoint peer, feed::FeedMessage message);
  // The time up to which the view of a reader contains all changes, by the
  // status in its response.
  std::optional<base::TimePoint> ViewCurrentAsOf(
      const feed::StoreStatus& status) const;
  void RecordFed(base::Endpoint reader,
                 std::optional<base::TimePoint> current_as_of);
  // Fetches the changes that did not fit into a response.
  void FetchChanges(base::Endpoint peer,
                    const feed::StoreStatus& own,
                    std::optional<base::TimePoint> current_as_of);
  // Applies changes that lead to a view which contains all changes made before
  // `current_as_of`.
  void ApplyChanges(base::Endpoint peer,
                    const base::Outcome<catalog::ViewDelta>& changes,
                    std::optional<base::TimePoint> current_as_of);
  // Null if the changes cannot be encoded. Valid until the next call.
  const std::string* ChangesSince(const catalog::KnownView& since,
                                  const feed::StoreStatus& own);
  event_loop::TextResponse ChangesResponse(std::string_view path);

  asio::ip::udp::socket m_socket;
  asio::steady_timer m_timer;
  base::Endpoint m_endpoint;
  feed::FeedMember m_member;
  feed::ConfirmationQueue m_waiting_requests;
  feed::TransferBudget m_budget;
  FeedOwner m_owner;
  http::Client m_client;
  std::unique_ptr<event_loop::HttpTextServer> m_server;
  std::array<char, kReceiveBufferBytes> m_buffer{};
  CachedChanges m_cache;
};

}  // namespace edge

#endif  // SERVICES_EDGE_FEED_LINK_H_
