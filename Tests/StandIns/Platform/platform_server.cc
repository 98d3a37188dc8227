#include "StandIns/Platform/platform_server.h"

#include <charconv>
#include <list>
#include <restinio/all.hpp>
#include <sstream>
#include <utility>
#include <vector>

#include "LibBase/overloaded.h"

namespace stand_ins {

namespace {

using Traits = restinio::default_single_thread_traits_t;
using HttpServer = restinio::http_server_t<Traits>;
using RequestHandle = restinio::request_handle_t;

constexpr std::string_view kControlPath = "/standin/";
constexpr std::size_t kMaximumRequestBytes = 4UL * 1024UL * 1024UL;
constexpr std::size_t kMaximumHeldCalls = 8192;
constexpr auto kWatchPollInterval = std::chrono::milliseconds(5);
constexpr auto kRequestTimeout = std::chrono::seconds(90);

std::optional<std::uint64_t> ParseVersion(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || rest != end)
    return std::nullopt;
  return value;
}

Parameters ParseQuery(restinio::string_view_t query) {
  Parameters parameters;
  auto parsed =
      restinio::try_parse_query<restinio::parse_query_traits::relaxed>(query);
  if (!parsed)
    return parameters;
  for (const auto& [name, value] : *parsed)
    parameters.emplace(std::string(name), std::string(value));
  return parameters;
}

PlatformRequest RequestOf(const RequestHandle& handle) {
  const auto& header = handle->header();
  PlatformRequest request;
  request.m_method = header.method().c_str();
  request.m_path = std::string(header.path());
  request.m_query = ParseQuery(header.query());
  if (header.has_field("If-Version"))
    request.m_if_version = ParseVersion(header.get_field("If-Version"));
  request.m_body = handle->body();
  return request;
}

void Respond(const RequestHandle& handle, const PlatformAnswer& answer) {
  auto response = handle->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{answer.m_status},
      answer.m_status == 200 ? "OK" : "Status"});
  if (answer.m_version)
    response.append_header("X-Version", std::to_string(*answer.m_version));
  response.set_body(answer.m_body);
  response.done();
}

// Closes the connection of a call without an answer. RESTinio has no public
// function for this; moving the socket out is what its WebSocket upgrade does.
void CloseWithoutAnswer(const RequestHandle& handle) {
  using Connection = restinio::impl::connection_t<Traits>;
  const auto connection =
      std::move(restinio::impl::access_req_connection(*handle));
  if (!connection)
    return;
  auto internals =
      dynamic_cast<Connection&>(*connection).move_upgrade_internals();
  restinio::asio_ns::error_code ignored;
  internals.m_socket.close(ignored);
}

struct HeldWatch {
  RequestHandle m_handle;
  WaitingWatch m_watch;
};

}  // namespace

class PlatformServer::Implementation {
 public:
  Implementation(asio::io_context& context,
                 base::Endpoint endpoint,
                 PlatformRates rates);
  ~Implementation() { m_server.close_sync(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  base::Endpoint Listening() const { return m_listening; }
  PlatformAnswer Control(const std::string& command,
                         const Parameters& parameters);

 private:
  restinio::request_handling_status_t OnRequest(const RequestHandle& handle);
  void HandleAfterDelay(const RequestHandle& handle);
  void Handle(const RequestHandle& handle, base::Duration answer_delay);
  void RespondAfter(const RequestHandle& handle,
                    const PlatformAnswer& answer,
                    base::Duration delay);
  void PollWatches();
  void SchedulePoll();
  void CallAfter(base::Duration delay, std::function<void()> callback);

  asio::io_context& m_context;
  PlatformModel m_model;
  base::Endpoint m_listening;
  std::list<HeldWatch> m_watches;
  std::vector<RequestHandle> m_silent_calls;
  asio::steady_timer m_poll_timer;
  HttpServer m_server;
};

PlatformServer::Implementation::Implementation(asio::io_context& context,
                                               base::Endpoint endpoint,
                                               PlatformRates rates)
    : m_context(context),
      m_model(rates),
      m_poll_timer(context),
      m_server(restinio::external_io_context(context), [&](auto& settings) {
        settings.address(base::ToString(endpoint.m_address))
            .port(endpoint.m_port)
            .handle_request_timeout(kRequestTimeout)
            .read_next_http_message_timelimit(kRequestTimeout)
            .concurrent_accepts_count(16)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    kMaximumRequestBytes))
            .acceptor_post_bind_hook([this](auto& acceptor) {
              const auto bound = acceptor.local_endpoint();
              m_listening = {
                  base::Ipv4Address(bound.address().to_v4().to_uint()),
                  bound.port()};
            })
            .request_handler([this](const RequestHandle& handle) {
              return OnRequest(handle);
            });
      }) {
  m_server.open_sync();
  SchedulePoll();
}

PlatformAnswer PlatformServer::Implementation::Control(
    const std::string& command,
    const Parameters& parameters) {
  PlatformAnswer answer =
      m_model.Control(command, parameters, base::Clock::now());
  if (m_model.outage() != Outage::kSilent) {
    for (const RequestHandle& handle : m_silent_calls)
      CloseWithoutAnswer(handle);
    m_silent_calls.clear();
  }
  return answer;
}

restinio::request_handling_status_t PlatformServer::Implementation::OnRequest(
    const RequestHandle& handle) {
  const std::string path(handle->header().path());
  if (!path.starts_with(kControlPath)) {
    HandleAfterDelay(handle);
    return restinio::request_accepted();
  }
  Respond(handle, Control(path.substr(kControlPath.size()),
                          ParseQuery(handle->header().query())));
  return restinio::request_accepted();
}

// A slow call takes effect in the middle of its delay, so that a caller's
// timeout may fall before or after the effect.
void PlatformServer::Implementation::HandleAfterDelay(
    const RequestHandle& handle) {
  const base::Duration delay = m_model.slowness() / 2;
  if (delay == base::Duration::zero()) {
    Handle(handle, delay);
    return;
  }
  CallAfter(delay, [this, handle, delay] { Handle(handle, delay); });
}

void PlatformServer::Implementation::Handle(const RequestHandle& handle,
                                            base::Duration answer_delay) {
  const PlatformRequest request = RequestOf(handle);
  const PlatformReaction reaction =
      m_model.Handle(request, m_watches.size(), base::Clock::now());
  std::visit(base::Overloaded{
                 [&](const PlatformAnswer& answer) {
                   RespondAfter(handle, answer, answer_delay);
                 },
                 [&](const WaitingWatch& watch) {
                   m_watches.push_back({handle, watch});
                 },
                 [&](const SilentCall&) {
                   if (m_silent_calls.size() < kMaximumHeldCalls)
                     m_silent_calls.push_back(handle);
                   else
                     CloseWithoutAnswer(handle);
                 },
                 [&](const LostAnswer&) { CloseWithoutAnswer(handle); },
             },
             reaction);
  if (request.m_method != "GET")
    PollWatches();
}

void PlatformServer::Implementation::RespondAfter(const RequestHandle& handle,
                                                  const PlatformAnswer& answer,
                                                  base::Duration delay) {
  if (delay == base::Duration::zero()) {
    Respond(handle, answer);
    return;
  }
  CallAfter(delay, [handle, answer] { Respond(handle, answer); });
}

void PlatformServer::Implementation::PollWatches() {
  const base::TimePoint now = base::Clock::now();
  for (auto held = m_watches.begin(); held != m_watches.end();) {
    const auto answer = m_model.PollWatch(held->m_watch, now);
    if (!answer) {
      ++held;
      continue;
    }
    Respond(held->m_handle, *answer);
    held = m_watches.erase(held);
  }
}

void PlatformServer::Implementation::SchedulePoll() {
  m_poll_timer.expires_after(kWatchPollInterval);
  m_poll_timer.async_wait([this](const std::error_code& error) {
    if (error)
      return;
    PollWatches();
    SchedulePoll();
  });
}

void PlatformServer::Implementation::CallAfter(base::Duration delay,
                                               std::function<void()> callback) {
  auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait(
      [timer, callback = std::move(callback)](const std::error_code& error) {
        if (!error)
          callback();
      });
}

PlatformServer::PlatformServer(asio::io_context& context,
                               base::Endpoint endpoint,
                               PlatformRates rates)
    : m_implementation(
          std::make_unique<Implementation>(context, endpoint, rates)) {}

PlatformServer::~PlatformServer() = default;

base::Endpoint PlatformServer::Listening() const {
  return m_implementation->Listening();
}

std::string PlatformServer::Execute(const std::string& line) {
  std::istringstream words(line);
  std::string command;
  std::string word;
  Parameters parameters;
  words >> command;
  while (words >> word) {
    const std::size_t equals = word.find('=');
    if (equals != std::string::npos)
      parameters.emplace(word.substr(0, equals), word.substr(equals + 1));
  }
  const PlatformAnswer answer = m_implementation->Control(command, parameters);
  if (command == "counts")
    return "{\"event\":\"counts\",\"counts\":" +
           answer.m_body.substr(0, answer.m_body.find('\n')) + "}";
  if (answer.m_status == 200)
    return "{\"event\":\"done\",\"command\":\"" + command + "\"}";
  return "{\"event\":\"error\",\"reason\":\"" +
         answer.m_body.substr(0, answer.m_body.find('\n')) + "\"}";
}

}  // namespace stand_ins
