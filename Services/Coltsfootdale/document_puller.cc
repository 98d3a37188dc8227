#include "document_puller.h"

#include <chrono>
#include <utility>
#include <variant>

#include "peer_request.h"

namespace service {

namespace {

// Shorter than the default m_pull_timeout of the configuration watcher, which
// is 1 s.
constexpr auto kPullTimeout = std::chrono::milliseconds(900);

}  // namespace

void DocumentPuller::Pull(base::Endpoint peer,
                          const peer::Message& request,
                          Callback callback) {
  SendPeerRequest(
      m_context, peer, request, kPullTimeout,
      [callback =
           std::move(callback)](const std::optional<peer::Message>& message) {
        const auto* reply =
            message ? std::get_if<peer::DocumentReply>(&message->m_body)
                    : nullptr;
        callback(reply == nullptr ? std::nullopt : std::optional(*reply));
      });
}

}  // namespace service
