#include "LibEventLoop/http_text_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <map>
#include <restinio/all.hpp>
#include <utility>

#include "LibBase/time.h"
#include "LibEventLoop/tcp_listener.h"

namespace event_loop {

namespace {

// More than the balancers of a large fleet, which may fetch a change from one
// of them at the same time.
constexpr std::size_t kMaximumConnections = 128;
// At the limit of connections, a connection may be closed if it has waited for
// its request for this long. A busy client may need several turns of its
// processor, and a poll of readiness may wait for twice this time.
constexpr base::Duration kMinimumRequestTime = std::chrono::milliseconds(200);
// A connection whose response is being written may be closed after this time.
// Followers give up earlier.
constexpr base::Duration kMinimumResponseTime = std::chrono::milliseconds(1000);
constexpr std::size_t kMaximumUrlBytes = 512;
constexpr std::size_t kMaximumHeaderFields = 32;
// Clients give up earlier; readiness polls do so after half a second.
constexpr std::chrono::seconds kClientTimeout{5};

// The reason phrase of a status (RFC 9110, section 15). Clients ignore it, and
// it may be empty.
std::string_view ReasonOf(std::uint16_t status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 503:
      return "Service Unavailable";
    default:
      return "";
  }
}

class Connections;

struct TextServerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = Connections;
};

using Settings = restinio::server_settings_t<TextServerTraits>;
using ConnectionSettings =
    restinio::impl::connection_settings_t<TextServerTraits>;
using ConnectionFactory =
    restinio::impl::connection_factory_t<TextServerTraits>;
using ConnectionLimiter =
    restinio::connection_count_limit_types<TextServerTraits>;

// The open connections of a server.
class Connections {
 public:
  // Queries.
  std::size_t size() const { return m_entries.size(); }

  // Commands.
  void Add(restinio::connection_id_t id, int socket) {
    m_entries[id] = {socket, Phase::kIdle, base::Clock::now()};
  }
  // RESTinio closes the connection after the response.
  void OnRequest(restinio::connection_id_t id) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
      return;
    found->second.m_phase = Phase::kResponding;
    found->second.m_since = base::Clock::now();
  }
  // Closes the oldest connection without a request if it has waited for
  // `minimum_request_time`. If each connection has a request, closes the oldest
  // one after kMinimumResponseTime. Returns whether it closed one.
  bool CloseOne(base::Duration minimum_request_time) {
    // The map has the connections in the order in which they were accepted.
    const auto first = std::ranges::min_element(
        m_entries, {}, [](const auto& item) { return item.second.m_phase; });
    if (first == m_entries.end() ||
        !first->second.IsOverdue(minimum_request_time))
      return false;
    first->second.Shutdown();
    m_entries.erase(first);
    return true;
  }
  void SetOnClosed(std::function<void()> on_closed) {
    m_on_closed = std::move(on_closed);
  }
  // Called by RESTinio when the state of a connection has changed.
  void state_changed(const restinio::connection_state::notice_t& notice) {
    using Closed = restinio::connection_state::closed_t;
    if (!restinio::holds_alternative<Closed>(notice.cause()))
      return;
    m_entries.erase(notice.connection_id());
    if (m_on_closed)
      m_on_closed();
  }
  void CloseAll() {
    m_on_closed = nullptr;
    for (const auto& [id, entry] : m_entries)
      entry.Shutdown();
    m_entries.clear();
  }

 private:
  enum class Phase {
    // Waits for a request.
    kIdle,
    kResponding,
  };

  struct Entry {
    bool IsOverdue(base::Duration minimum_request_time) const {
      const base::Duration age = base::Clock::now() - m_since;
      return m_phase == Phase::kIdle
                 ? age >= minimum_request_time && !HasUnreadInput()
                 : age >= kMinimumResponseTime;
    }
    // After a pause of the process, requests may have arrived meanwhile.
    bool HasUnreadInput() const {
      char byte = 0;
      return recv(m_socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
    }
    // RESTinio closes the connection at the end of input or the write error
    // that results.
    void Shutdown() const { shutdown(m_socket, SHUT_RDWR); }

    int m_socket = -1;
    Phase m_phase = Phase::kIdle;
    // When the phase began.
    base::TimePoint m_since;
  };

  std::map<restinio::connection_id_t, Entry> m_entries;
  std::function<void()> m_on_closed;
};

}  // namespace

// Listens with a TcpListener and passes the connections to RESTinio. RESTinio's
// own acceptor stops for good after a failed accept.
struct HttpTextServer::Server {
  Server(asio::io_context& context, Handler handler, OnProblem on_problem)
      : m_handler(std::make_shared<const Handler>(std::move(handler))),
        m_on_problem(std::move(on_problem)) {
    Settings settings;
    Configure(settings);
    auto connection_settings = std::make_shared<ConnectionSettings>(
        settings,
        restinio::impl::create_parser_settings<
            TextServerTraits::http_methods_mapper_t>(),
        settings.timer_factory()->create(context));
    m_factory = std::make_unique<ConnectionFactory>(
        std::move(connection_settings), settings.socket_options_setter());
  }

  ~Server() {
    m_connections->CloseAll();
    if (m_listener)
      m_listener->Close();
  }

  std::error_code Listen(asio::io_context& context, base::Endpoint endpoint) {
    auto listener = TcpListener::Create(
        context, endpoint,
        {[this] { return MakeRoom(); },
         [this](asio::ip::tcp::socket socket,
                const asio::ip::tcp::endpoint& peer) {
           Serve(std::move(socket), peer);
         },
         [this](std::error_code error) { OnAcceptFailed(error); }});
    if (!listener)
      return listener.error();
    m_listener = std::move(listener).value();
    m_connections->SetOnClosed([this] { m_listener->OnConnectionClosed(); });
    return {};
  }

  void Configure(Settings& settings) {
    settings.read_next_http_message_timelimit(kClientTimeout)
        .write_http_response_timelimit(kClientTimeout)
        .handle_request_timeout(kClientTimeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(kMaximumUrlBytes)
                                      .max_field_count(kMaximumHeaderFields)
                                      .max_body_size(0))
        .connection_state_listener(m_connections)
        // A connection may outlive the server until the io_context runs next.
        .request_handler([weak = std::weak_ptr<const Handler>(m_handler),
                          connections = m_connections](
                             const restinio::request_handle_t& request) {
          const auto handler = weak.lock();
          return handler ? Respond(*handler, *connections, request)
                         : restinio::request_rejected();
        });
  }

  bool MakeRoom() {
    if (m_connections->size() < kMaximumConnections)
      return true;
    if (!m_connections->CloseOne(kMinimumRequestTime))
      return false;
    Report(ListenerProblem::kConnectionLimit, {});
    return true;
  }

  // The few descriptors left serve more clients if each client has only the
  // time of TcpListener::kRetryDelay for its request.
  void OnAcceptFailed(std::error_code error) {
    Report(ListenerProblem::kAcceptFailed, error);
    m_connections->CloseOne(base::Duration::zero());
  }

  void Serve(asio::ip::tcp::socket socket,
             const asio::ip::tcp::endpoint& peer) {
    const int descriptor = socket.native_handle();
    try {
      const auto connection = m_factory->create_new_connection(
          std::move(socket), peer,
          ConnectionLimiter::lifetime_monitor_t(nullptr));
      connection->init();
      m_connections->Add(connection->connection_id(), descriptor);
    } catch (const std::system_error& error) {
      Report(ListenerProblem::kAcceptFailed, error.code());
    }
  }

  void Report(ListenerProblem problem, std::error_code error) const {
    if (m_on_problem)
      m_on_problem(problem, error);
  }

  static restinio::request_handling_status_t Respond(
      const Handler& handler,
      Connections& connections,
      const restinio::request_handle_t& request) {
    connections.OnRequest(request->connection_id());
    const bool is_get =
        request->header().method() == restinio::http_method_get();
    TextResponse response = is_get
                                ? handler(std::string(request->header().path()))
                                : TextResponse{405, "only GET is served\n"};
    request
        ->create_response({restinio::http_status_code_t(response.m_status),
                           std::string(ReasonOf(response.m_status))})
        .append_header(restinio::http_field::content_type,
                       std::string(response.m_content_type))
        .set_body(std::move(response.m_body))
        .done();
    return restinio::request_accepted();
  }

  std::shared_ptr<const Handler> m_handler;
  OnProblem m_on_problem;
  std::shared_ptr<Connections> m_connections = std::make_shared<Connections>();
  std::unique_ptr<ConnectionFactory> m_factory;
  std::shared_ptr<TcpListener> m_listener;
};

base::Outcome<std::unique_ptr<HttpTextServer>> HttpTextServer::Create(
    asio::io_context& context,
    base::Endpoint endpoint,
    Handler handler,
    OnProblem on_problem) {
  auto server = std::make_unique<Server>(context, std::move(handler),
                                         std::move(on_problem));
  if (const auto error = server->Listen(context, endpoint))
    return error;
  return std::unique_ptr<HttpTextServer>(new HttpTextServer(std::move(server)));
}

HttpTextServer::HttpTextServer(std::unique_ptr<Server> server)
    : m_server(std::move(server)) {}

HttpTextServer::~HttpTextServer() = default;

base::Endpoint HttpTextServer::endpoint() const {
  return m_server->m_listener->endpoint();
}

}  // namespace event_loop
