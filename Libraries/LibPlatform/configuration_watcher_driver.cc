#include "LibPlatform/configuration_watcher_driver.h"

#include <asio/io_context.hpp>
#include <utility>

#include "LibBase/overloaded.h"

namespace platform {

namespace {

WatcherEvent EventOf(ReadId id, ReadResult result) {
  return std::visit(
      base::Overloaded{
          [&](Found& found) -> WatcherEvent {
            return PlatformDocument{
                id, base::ConfigurationVersion(found.m_version.value()),
                std::make_shared<const std::string>(std::move(found.m_body))};
          },
          [&](const Unchanged&) -> WatcherEvent {
            return PlatformUnchanged{id};
          },
          [&](const auto&) -> WatcherEvent { return PlatformFailed{id}; },
      },
      result);
}

}  // namespace

ConfigurationWatcherDriver::ConfigurationWatcherDriver(
    asio::io_context& context,
    PlatformClient& client,
    std::string key,
    ConfigurationWatcher watcher,
    DocumentCallback on_document,
    PullCallback on_pull,
    DigestRequestCallback on_digest_request)
    : m_client(client),
      m_key(std::move(key)),
      m_watcher(std::move(watcher)),
      m_on_document(std::move(on_document)),
      m_on_pull(std::move(on_pull)),
      m_on_digest_request(std::move(on_digest_request)),
      m_timer(context) {}

ConfigurationWatcherDriver::~ConfigurationWatcherDriver() {
  for (const auto& [read, request] : m_requests)
    m_client.Cancel(request);
}

void ConfigurationWatcherDriver::Start() {
  Handle(TimerFired{});
}

void ConfigurationWatcherDriver::Handle(const WatcherEvent& event) {
  for (const WatcherEffect& effect :
       m_watcher.Handle(event, base::Clock::now()))
    Apply(effect);
  ArmTimer();
}

void ConfigurationWatcherDriver::Apply(const WatcherEffect& effect) {
  std::visit(base::Overloaded{
                 [&](const ReadFromPlatform& read) { Read(read); },
                 [&](const CancelRead& cancel) {
                   const auto found = m_requests.find(cancel.m_read);
                   if (found == m_requests.end())
                     return;
                   m_client.Cancel(found->second);
                   m_requests.erase(found);
                 },
                 [&](const PullFromPeer& pull) { m_on_pull(pull); },
                 [&](const RequestDigest& digest_request) {
                   m_on_digest_request(digest_request);
                 },
                 [&](const AdoptDocument& document) {
                   if (!m_on_document(document.m_version, *document.m_body))
                     Handle(DocumentRefused{document.m_version});
                 },
             },
             effect);
}

void ConfigurationWatcherDriver::Read(const ReadFromPlatform& read) {
  const ReadId id = read.m_read;
  const http::RequestId request = m_client.Watch(
      m_key, ObjectVersion(read.m_newer_than.value()), read.m_wait,
      [this, id, lifetime = std::weak_ptr(m_lifetime)](ReadResult result) {
        if (!lifetime.expired())
          OnReadResult(id, std::move(result));
      });
  m_requests.emplace(id, request);
}

void ConfigurationWatcherDriver::OnReadResult(ReadId id, ReadResult result) {
  m_requests.erase(id);
  Handle(EventOf(id, std::move(result)));
}

void ConfigurationWatcherDriver::ArmTimer() {
  const auto deadline = m_watcher.NextDeadline();
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
