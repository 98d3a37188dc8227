#include "LibPlatform/follower_driver.h"

#include <asio/io_context.hpp>
#include <utility>

#include "LibBase/overloaded.h"

namespace platform {

namespace {

FollowerEvent EventOf(AskId id, ReadResult result) {
  return std::visit(
      base::Overloaded{
          [&](Found& found) -> FollowerEvent {
            return PlatformDocument{
                id, base::ConfigurationVersion(found.m_version.value()),
                std::make_shared<const std::string>(std::move(found.m_body))};
          },
          [&](const Unchanged&) -> FollowerEvent {
            return PlatformUnchanged{id};
          },
          [&](const auto&) -> FollowerEvent { return PlatformFailed{id}; },
      },
      result);
}

}  // namespace

FollowerDriver::FollowerDriver(asio::io_context& context,
                               PlatformClient& client,
                               std::string key,
                               ConfigurationFollower follower,
                               DocumentCallback on_document,
                               PullCallback on_pull,
                               ProbeCallback on_probe)
    : m_client(client),
      m_key(std::move(key)),
      m_follower(std::move(follower)),
      m_on_document(std::move(on_document)),
      m_on_pull(std::move(on_pull)),
      m_on_probe(std::move(on_probe)),
      m_timer(context) {}

FollowerDriver::~FollowerDriver() {
  for (const auto& [ask, request] : m_requests)
    m_client.Cancel(request);
}

void FollowerDriver::Start() {
  Handle(TimerFired{});
}

void FollowerDriver::Handle(const FollowerEvent& event) {
  for (const FollowerEffect& effect :
       m_follower.Handle(event, base::Clock::now()))
    Apply(effect);
  ArmTimer();
}

void FollowerDriver::Apply(const FollowerEffect& effect) {
  std::visit(base::Overloaded{
                 [&](const AskPlatform& ask) { Ask(ask); },
                 [&](const CancelAsk& cancel) {
                   const auto found = m_requests.find(cancel.m_ask);
                   if (found == m_requests.end())
                     return;
                   m_client.Cancel(found->second);
                   m_requests.erase(found);
                 },
                 [&](const PullFromPeer& pull) { m_on_pull(pull); },
                 [&](const ProbePeer& probe) { m_on_probe(probe); },
                 [&](const AdoptDocument& document) {
                   if (!m_on_document(document.m_version, *document.m_body))
                     Handle(DocumentRefused{document.m_version});
                 },
             },
             effect);
}

void FollowerDriver::Ask(const AskPlatform& ask) {
  const AskId id = ask.m_ask;
  const http::RequestId request = m_client.Watch(
      m_key, ObjectVersion(ask.m_newer_than.value()), ask.m_wait,
      [this, id, lifetime = std::weak_ptr(m_lifetime)](ReadResult result) {
        if (!lifetime.expired())
          OnAnswer(id, std::move(result));
      });
  m_requests.emplace(id, request);
}

void FollowerDriver::OnAnswer(AskId id, ReadResult result) {
  m_requests.erase(id);
  Handle(EventOf(id, std::move(result)));
}

void FollowerDriver::ArmTimer() {
  const auto deadline = m_follower.NextDeadline();
  if (!deadline) {
    m_timer.cancel();
    return;
  }
  m_timer.expires_at(*deadline);
  m_timer.async_wait([this, lifetime = std::weak_ptr(m_lifetime)](
                         const std::error_code& error) {
    if (!error && !lifetime.expired())
      Handle(TimerFired{});
  });
}

}  // namespace platform
