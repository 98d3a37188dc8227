#include "feed_link.h"

#include <fmt/format.h>
#include <asio/buffer.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <system_error>
#include <utility>
#include <variant>

#include "LibBase/asio_endpoint.h"
#include "LibBase/asio_error.h"
#include "LibBase/overloaded.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibEventLoop/datagram_socket.h"

namespace edge {

namespace {

// Begins with the version of the path.
constexpr std::string_view kChangesPath = "/changes/3/";
constexpr std::string_view kBinaryType = "application/octet-stream";
constexpr std::uint16_t kHttpOk = 200;
// A peer responds from memory, at the rate of a slow link.
constexpr base::Duration kFetchTimeout = std::chrono::milliseconds(1000);
constexpr base::Duration kFetchConnectTimeout = std::chrono::milliseconds(300);
// Other work of the event loop gets its turn after this many messages.
constexpr int kMaximumMessagesPerTurn = 64;

// Removes a number and the slash after it, if any, from the start of `path`.
std::optional<std::uint64_t> TakeNumber(std::string_view& path) {
  std::uint64_t number = 0;
  const char* end = path.data() + path.size();
  const auto parsed = std::from_chars(path.data(), end, number);
  if (parsed.ec != std::errc() || (parsed.ptr != end && *parsed.ptr != '/'))
    return std::nullopt;
  path.remove_prefix(static_cast<std::size_t>(parsed.ptr - path.data()));
  if (!path.empty())
    path.remove_prefix(1);
  return number;
}

// Parses "/changes/3/ERA/SERVERS/MANIFEST/ERA/EVACUATIONS": the era and the
// number of the revision of the servers, the version of the manifest, and the
// era and the number of the revision of the evacuations.
std::optional<catalog::KnownView> ParseChangesPath(std::string_view path) {
  if (!path.starts_with(kChangesPath))
    return std::nullopt;
  path.remove_prefix(kChangesPath.size());
  const auto era = TakeNumber(path);
  const auto servers = TakeNumber(path);
  const auto manifest = TakeNumber(path);
  const auto evacuations_era = TakeNumber(path);
  const auto evacuations = TakeNumber(path);
  if (!era || !servers || !manifest || !evacuations_era || !evacuations ||
      !path.empty())
    return std::nullopt;
  return catalog::KnownView{{base::StoreEra(*era), *servers},
                            base::ConfigurationVersion(*manifest),
                            {base::StoreEra(*evacuations_era), *evacuations}};
}

std::string MakeChangesPath(const feed::StoreStatus& own) {
  return fmt::format(
      "{}{}/{}/{}/{}/{}", kChangesPath, own.m_servers.era().value(),
      own.m_servers.number(), own.m_manifest_version.value(),
      own.m_evacuations.era().value(), own.m_evacuations.number());
}

}  // namespace

base::Outcome<std::unique_ptr<FeedLink>> FeedLink::Create(
    asio::io_context& context,
    base::Endpoint endpoint,
    const feed::FeedSettings& settings,
    std::uint64_t seed,
    FeedOwner owner) {
  std::unique_ptr<FeedLink> link(
      new FeedLink(context, endpoint, settings, seed, std::move(owner)));
  if (const auto error =
          event_loop::OpenDatagramSocket(link->m_socket, endpoint))
    return error;
  TRY(server, event_loop::HttpTextServer::Create(
                  context, endpoint,
                  [raw = link.get()](std::string_view path) {
                    return raw->ChangesResponse(path);
                  },
                  [raw = link.get()](event_loop::ListenerProblem problem,
                                     std::error_code) {
                    raw->m_owner.m_on_refused(
                        raw->m_endpoint,
                        NameOf(event_loop::kListenerProblemNames, problem));
                  }));
  link->m_server = std::move(server);
  return link;
}

FeedLink::FeedLink(asio::io_context& context,
                   base::Endpoint endpoint,
                   const feed::FeedSettings& settings,
                   std::uint64_t seed,
                   FeedOwner owner)
    : m_socket(context),
      m_timer(context),
      m_endpoint(endpoint),
      m_member(settings, seed, base::Clock::now()),
      m_budget(settings.m_transfer_bytes_per_second, base::Clock::now()),
      m_owner(std::move(owner)),
      m_client(context) {}

void FeedLink::Start() {
  WaitForMessages();
  Advance();
}

void FeedLink::OnPaused(base::TimePoint now) {
  m_member.OnPaused(now);
  Advance();
}

void FeedLink::RequestChanges(std::optional<base::TimePoint> needed_as_of,
                              base::TimePoint now) {
  if (m_member.RequestPoll(needed_as_of, now))
    Advance();
}

void FeedLink::Advance() {
  const base::TimePoint now = base::Clock::now();
  const feed::StoreStatus status = m_owner.m_status(now);
  AnswerWaiting(status, now);
  for (feed::FeedPoll& poll : m_member.Advance(status, now)) {
    poll.m_request.m_load =
        m_owner.m_request_load(poll.m_request.m_is_reader, now);
    Send({poll.m_peer, m_endpoint.m_port}, std::move(poll.m_request));
  }
  m_owner.m_on_role(now);
  ArmTimer(status, now);
}

void FeedLink::ArmTimer(const feed::StoreStatus& status, base::TimePoint now) {
  // Bounds the wake-ups if a deadline has passed and nothing is to be done.
  constexpr base::Duration kMinimumWait = std::chrono::milliseconds(5);
  const base::TimePoint next = std::min(
      m_member.NextAdvanceAt(status),
      m_waiting_requests.NextDeadline().value_or(base::TimePoint::max()));
  m_timer.expires_at(std::max(next, now + kMinimumWait));
  m_timer.async_wait([this](const std::error_code& error) {
    if (!error)
      Advance();
  });
}

void FeedLink::WaitForMessages() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read,
                      [this](const std::error_code& error) {
                        if (error)
                          return;
                        ReceiveMessages();
                        WaitForMessages();
                      });
}

void FeedLink::ReceiveMessages() {
  for (int count = 0; count < kMaximumMessagesPerTurn; ++count) {
    asio::ip::udp::endpoint source;
    std::error_code error;
    const std::size_t bytes =
        m_socket.receive_from(asio::buffer(m_buffer), source, 0, error);
    if (base::FromAsio(error) == std::errc::operation_would_block)
      return;
    // Other errors report the result of an earlier datagram.
    if (error)
      continue;
    HandleMessage(base::FromAsio(source),
                  std::string_view(m_buffer.data(), bytes));
  }
}

void FeedLink::HandleMessage(base::Endpoint source, std::string_view bytes) {
  const auto message = feed::DecodeMessage(bytes);
  if (!message) {
    m_owner.m_on_refused(source, "malformed");
    return;
  }
  std::visit(base::Overloaded{
                 [&](const feed::FeedRequest& request) {
                   HandleRequest({source, request, base::Clock::now()});
                 },
                 [&](const feed::FeedResponse& response) {
                   HandleResponse(source, response);
                 },
             },
             message.value());
}

void FeedLink::HandleRequest(feed::ReceivedRequest request) {
  const base::TimePoint now = request.m_received_at;
  const feed::StoreStatus own = m_owner.m_status(now);
  const bool may_wait =
      m_member.IsReader() &&
      m_member.IsOfPeer(request.m_source.m_address, request.m_request);
  if (!may_wait || !m_waiting_requests.ShouldWait(request, own, now)) {
    Answer(request, own, now);
    return;
  }
  m_waiting_requests.Add(std::move(request));
  m_owner.m_confirm_view(*m_waiting_requests.NeededAsOf());
  ArmTimer(own, now);
}

void FeedLink::AnswerWaiting(const feed::StoreStatus& own,
                             base::TimePoint now) {
  for (const feed::ReceivedRequest& request :
       m_waiting_requests.PopDue(own, now))
    Answer(request, own, now);
}

void FeedLink::Answer(const feed::ReceivedRequest& received,
                      const feed::StoreStatus& own,
                      base::TimePoint now) {
  const base::Endpoint source = received.m_source;
  const feed::FeedRequest& request = received.m_request;
  auto response = m_member.HandleRequest(source.m_address, request, own, now);
  if (!response) {
    m_owner.m_on_refused(source, "other_fleet");
    return;
  }
  response->m_status.m_view_age = received.AgeAtReceipt(own.m_view_age, now);
  // A requester that names no revision of the evacuations may not need them; if
  // it does, it fetches them with the rest of its first view.
  const bool has_evacuations = request.m_evacuations != catalog::Revision() &&
                               request.m_evacuations < own.m_evacuations;
  const bool has_changes =
      own.m_is_current &&
      (request.m_servers < own.m_servers ||
       request.m_manifest < own.m_manifest || has_evacuations ||
       request.m_manifest_version < own.m_manifest_version);
  // A whole view does not fit into a datagram.
  const bool has_view = request.m_servers != catalog::Revision();
  if (has_changes && has_view) {
    const std::string* changes = ChangesSince(
        {request.m_servers, request.m_manifest_version, request.m_evacuations},
        own);
    if (changes != nullptr && changes->size() <= feed::kMaximumInlineDeltaBytes)
      response->m_delta = *changes;
  }
  if (!request.m_load.empty()) {
    m_owner.m_on_request_load(source, request.m_load, m_member.IsReader(), now);
    response->m_load = m_owner.m_response_load(m_member.IsReader(), now);
  }
  Send(source, std::move(*response));
}

void FeedLink::HandleResponse(base::Endpoint source,
                              const feed::FeedResponse& response) {
  const base::TimePoint now = base::Clock::now();
  const feed::StoreStatus own = m_owner.m_status(now);
  const feed::ResponseVerdict verdict =
      m_member.HandleResponse(source.m_address, response, own, now);
  if (verdict != feed::ResponseVerdict::kUnsolicited &&
      !response.m_load.empty())
    m_owner.m_on_response_load(source, response.m_load, now);
  switch (verdict) {
    case feed::ResponseVerdict::kUnsolicited:
      m_owner.m_on_refused(source,
                           NameOf(feed::kResponseVerdictNames, verdict));
      return;
    case feed::ResponseVerdict::kNotCurrent:
    case feed::ResponseVerdict::kBehind:
    case feed::ResponseVerdict::kListing:
      break;
    case feed::ResponseVerdict::kNothingNew:
      m_owner.m_on_reader_status(response.m_status);
      RecordFed(source, ViewCurrentAsOf(response.m_status));
      break;
    case feed::ResponseVerdict::kHasChanges:
      m_owner.m_on_reader_status(response.m_status);
      ApplyChanges(source, catalog::DecodeDelta(response.m_delta),
                   ViewCurrentAsOf(response.m_status));
      break;
    case feed::ResponseVerdict::kFetchChanges:
      m_owner.m_on_reader_status(response.m_status);
      FetchChanges(source, own, ViewCurrentAsOf(response.m_status));
      break;
  }
  // The response may have changed the role and the next poll.
  Advance();
}

void FeedLink::Send(base::Endpoint peer, feed::FeedMessage message) {
  auto bytes = feed::EncodeMessage(message);
  if (!bytes) {
    std::visit([](auto& content) { content.m_load.clear(); }, message);
    bytes = feed::EncodeMessage(message);
  }
  if (!bytes) {
    m_owner.m_on_refused(peer, "does_not_fit");
    return;
  }
  std::error_code error;
  m_socket.send_to(asio::buffer(bytes.value()),
                   base::ToAsio<asio::ip::udp>(peer), 0, error);
  // A datagram that could not be sent is lost like any other: the poll times
  // out.
  if (error)
    m_owner.m_on_refused(peer, "send_failed");
}

std::optional<base::TimePoint> FeedLink::ViewCurrentAsOf(
    const feed::StoreStatus& status) const {
  // The reader received the poll after it was sent.
  return status.m_view_age
             ? std::optional(m_member.LastAnsweredPollAt() - *status.m_view_age)
             : std::nullopt;
}

void FeedLink::RecordFed(base::Endpoint reader,
                         std::optional<base::TimePoint> current_as_of) {
  if (current_as_of)
    m_owner.m_on_fed(reader, *current_as_of);
}

void FeedLink::FetchChanges(base::Endpoint peer,
                            const feed::StoreStatus& own,
                            std::optional<base::TimePoint> current_as_of) {
  if (m_client.OpenRequests() > 0)
    return;
  http::Request request;
  request.m_endpoint = peer;
  request.m_path = MakeChangesPath(own);
  request.m_timeout = kFetchTimeout;
  request.m_connect_timeout = kFetchConnectTimeout;
  request.m_response_limit_bytes = catalog::kMaximumSnapshotBytes;
  m_client.Send(request, [this, peer, current_as_of](
                             const base::Outcome<http::Response>& response) {
    if (!response)
      m_owner.m_on_refused(peer, response.error().message());
    else if (response.value().m_status != kHttpOk)
      m_owner.m_on_refused(peer, "no_changes");
    else
      ApplyChanges(peer, catalog::DecodeDelta(response.value().m_body),
                   current_as_of);
  });
}

void FeedLink::ApplyChanges(base::Endpoint peer,
                            const base::Outcome<catalog::ViewDelta>& changes,
                            std::optional<base::TimePoint> current_as_of) {
  if (!changes) {
    m_owner.m_on_refused(peer, "malformed_changes");
    return;
  }
  if (!m_owner.m_apply(peer, changes.value())) {
    m_owner.m_on_refused(peer, "gap");
    return;
  }
  m_member.OnChangesApplied(base::Clock::now());
  RecordFed(peer, current_as_of);
}

const std::string* FeedLink::ChangesSince(const catalog::KnownView& since,
                                          const feed::StoreStatus& own) {
  const catalog::KnownView until{own.m_servers, own.m_manifest_version,
                                 own.m_evacuations};
  const bool is_cached = m_cache.m_since == since && m_cache.m_until == until &&
                         m_cache.m_manifest == own.m_manifest &&
                         !m_cache.m_bytes.empty();
  if (is_cached)
    return &m_cache.m_bytes;
  auto bytes = m_owner.m_changes(since);
  if (!bytes) {
    m_owner.m_on_refused(m_endpoint, bytes.error().message());
    return nullptr;
  }
  m_cache = {since, until, own.m_manifest, std::move(bytes).value()};
  return &m_cache.m_bytes;
}

event_loop::TextResponse FeedLink::ChangesResponse(std::string_view path) {
  const auto since = ParseChangesPath(path);
  if (!since)
    return {404, "unknown path\n"};
  const feed::StoreStatus own = m_owner.m_status(base::Clock::now());
  if (!own.m_is_current)
    return {503, "the view is not current\n"};
  const std::string* changes = ChangesSince(*since, own);
  if (changes == nullptr)
    return {503, "the changes cannot be encoded\n"};
  if (!m_budget.Take(changes->size(), base::Clock::now()))
    return {503, "too many transfers\n"};
  return {200, *changes, kBinaryType};
}

}  // namespace edge
