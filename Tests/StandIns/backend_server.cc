#include "StandIns/backend_server.h"

#include <algorithm>
#include <charconv>
#include <unordered_set>
#include <utility>

#include "StandIns/event_loop.h"
#include "StandIns/tcp_packet.h"

namespace stand_ins {

namespace {

constexpr std::size_t kMaximumRecordedExecutions = 50'000'000;

UdpPort::Bytes AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::uint64_t Count(std::chrono::milliseconds duration) {
  return static_cast<std::uint64_t>(duration.count());
}

}  // namespace

BackendServer::BackendServer(EventLoop* loop, BackendServerOptions options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_random(m_options.m_seed),
      m_work(m_options.m_slots, m_options.m_cold_start, EventLoop::Now()),
      m_work_timer(&loop->Timers(),
                   [this](base::TimePoint now) { AdvanceWork(now); }),
      m_load_history(m_options.m_load_lag) {
  m_load_history.Add(CurrentLoad(), EventLoop::Now());
}

base::Outcome<void> BackendServer::Open() {
  TRY(tunnel, UdpPort::Open(&m_loop->Context(),
                            {m_options.m_address, m_options.m_tunnel_port}));
  m_tunnel = std::move(tunnel);
  m_tunnel->StartReceiving(
      [this](auto datagram, base::Endpoint) { HandleDatagram(datagram); });
  HealthServer::Handlers handlers;
  handlers.m_health = [this] { return HealthResponse(); };
  handlers.m_load = [this] { return LoadBody(); };
  TRY(health,
      HealthServer::Open(m_loop, m_options.m_address, std::move(handlers)));
  m_health = std::move(health);
  return base::Success();
}

// Reports -------------------------------------------------------------------

JsonLine BackendServer::ListeningLine() const {
  JsonLine line("listening");
  line.Add("tunnel", base::ToString(m_tunnel->LocalEndpoint()))
      .Add("health", base::ToString(m_health->LocalEndpoint()))
      .Add("name", m_options.m_name)
      .Add("service", m_options.m_service)
      .Add("seed", m_options.m_seed);
  return line;
}

JsonLine BackendServer::ReportLine() const {
  const LoadReport load = CurrentLoad();
  const Counters& counters = m_counters;
  JsonLine line("report");
  line.Add("name", m_options.m_name)
      .Add("service", m_options.m_service)
      .Add("openings", counters.m_openings)
      .Add("accepted", counters.m_accepted)
      .Add("refused_limit", counters.m_refused_limit)
      .Add("refused_draining", counters.m_refused_draining)
      .Add("refused_shedding", counters.m_refused_shedding)
      .Add("accepted_after_drain", counters.m_accepted_after_drain)
      .Add("last_opening_after_drain_ms",
           Count(counters.m_last_opening_after_drain))
      .Add("last_accepted_after_drain_ms",
           Count(counters.m_last_accepted_after_drain))
      .Add("foreign_packets", counters.m_foreign_packets)
      .Add("malformed", counters.m_malformed)
      .Add("unknown_connection", counters.m_unknown_connection)
      .Add("executions", counters.m_executions)
      .Add("executions_repeated", RepeatedExecutions())
      .Add("not_run", counters.m_not_run)
      .Add("cancelled_queued", counters.m_cancelled_queued)
      .Add("cancelled_running", counters.m_cancelled_running)
      .Add("timed_out", counters.m_timed_out)
      .Add("busy", load.m_busy)
      .Add("queued", load.m_queued)
      .Add("connections", load.m_connections);
  return line;
}

JsonLine BackendServer::ExecutionsLine() const {
  JsonLine line("executions");
  line.Add("ids", m_executions);
  return line;
}

JsonLine BackendServer::ConnectionsLine() const {
  std::vector<JsonLine> connections;
  for (const auto& [caller, peer] : m_peers) {
    const auto& request = peer->m_connection.ReceivedRequest();
    JsonLine entry("connection");
    entry.Add("caller", base::ToString(caller))
        .Add("request", request ? request->m_id.value() : std::uint64_t{0});
    connections.push_back(std::move(entry));
  }
  JsonLine line("connections");
  line.Add("connections", connections);
  return line;
}

std::uint64_t BackendServer::RepeatedExecutions() const {
  const std::unordered_set<std::uint64_t> distinct(m_executions.begin(),
                                                   m_executions.end());
  return m_executions.size() - distinct.size();
}

LoadReport BackendServer::CurrentLoad() const {
  LoadReport load;
  load.m_busy = m_work.Busy();
  load.m_slots = m_work.Slots();
  load.m_queued = m_work.Queued();
  load.m_connections = m_peers.size();
  load.m_limit = m_options.m_connection_limit;
  return load;
}

std::string BackendServer::LoadBody() const {
  const LoadReport load = m_load_history.ReportAt(EventLoop::Now());
  JsonLine body("load");
  body.Add("busy", m_false_busy.value_or(load.m_busy))
      .Add("slots", load.m_slots)
      .Add("queued", load.m_queued)
      .Add("connections", load.m_connections)
      .Add("limit", load.m_limit);
  return body.Text();
}

HealthServer::Response BackendServer::HealthResponse() const {
  const bool draining = m_drain != Drain::kNone;
  const char* state = draining ? "draining" : "ready";
  if (!draining && m_shedding)
    state = "shedding";
  JsonLine body("health");
  body.Add("state", state);
  return {!draining, body.Text()};
}

// Packets -------------------------------------------------------------------

void BackendServer::HandleDatagram(UdpPort::Bytes datagram) {
  if (m_silent)
    return;
  const auto packet = ParsePacket(datagram);
  if (!packet) {
    ++m_counters.m_malformed;
    return;
  }
  if (packet->m_destination != m_options.m_service_address) {
    ++m_counters.m_foreign_packets;
    return;
  }
  const base::TimePoint now = EventLoop::Now();
  const auto found = m_peers.find(packet->m_source);
  if (found == m_peers.end()) {
    HandlePacketWithoutConnection(*packet, now);
    return;
  }
  found->second->m_connection.Receive(packet->m_segment, now);
  Update(packet->m_source, now);
}

void BackendServer::HandlePacketWithoutConnection(const TcpPacket& packet,
                                                  base::TimePoint now) {
  const TcpSegment& segment = packet.m_segment;
  if (segment.m_syn && !segment.m_ack && !segment.m_rst) {
    HandleOpening(packet, now);
    return;
  }
  ++m_counters.m_unknown_connection;
  if (const auto reset = ResetForNoConnection(segment))
    SendSegment(*reset, packet.m_source);
}

void BackendServer::HandleOpening(const TcpPacket& packet,
                                  base::TimePoint now) {
  ++m_counters.m_openings;
  const auto after_drain =
      std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                            m_drain_start);
  if (m_drain != Drain::kNone)
    m_counters.m_last_opening_after_drain = after_drain;
  if (RefuseOpening()) {
    SendSegment(RefusalOfOpening(packet.m_segment), packet.m_source);
    return;
  }
  if (m_drain != Drain::kNone) {
    ++m_counters.m_accepted_after_drain;
    m_counters.m_last_accepted_after_drain = after_drain;
  }
  Accept(packet, now);
}

bool BackendServer::RefuseOpening() {
  if (m_drain == Drain::kRefusing)
    ++m_counters.m_refused_draining;
  else if (m_shedding)
    ++m_counters.m_refused_shedding;
  else if (m_peers.size() >= m_options.m_connection_limit)
    ++m_counters.m_refused_limit;
  else
    return false;
  return true;
}

void BackendServer::Accept(const TcpPacket& packet, base::TimePoint now) {
  ++m_counters.m_accepted;
  const base::Endpoint caller = packet.m_source;
  auto tcp = TcpConnection::Accept(static_cast<std::uint32_t>(m_random.Next()),
                                   packet.m_segment, now, TcpOptions{});
  auto peer = std::make_unique<Peer>(
      ServerConnection(std::move(tcp), m_options.m_service_address),
      &m_loop->Timers(),
      [this, caller](base::TimePoint time) { HandleTimer(caller, time); });
  m_peers.emplace(caller, std::move(peer));
  Update(caller, now);
}

void BackendServer::SendSegment(const TcpSegment& segment,
                                base::Endpoint caller) {
  if (m_silent)
    return;
  const TcpPacket packet{m_options.m_service_address, caller, segment};
  m_tunnel->Send(AsBytes(BuildPacket(packet)), m_options.m_gateway);
}

// Connections ---------------------------------------------------------------

void BackendServer::HandleTimer(base::Endpoint caller, base::TimePoint now) {
  const auto found = m_peers.find(caller);
  if (found == m_peers.end())
    return;
  found->second->m_connection.Advance(now);
  Update(caller, now);
}

void BackendServer::Update(base::Endpoint caller, base::TimePoint now) {
  const auto found = m_peers.find(caller);
  if (found == m_peers.end())
    return;
  Peer& peer = *found->second;
  ServerConnection& connection = peer.m_connection;
  const bool is_new = connection.ReceivedRequest() && !peer.m_job;
  if (is_new && !connection.Tcp().IsClosed())
    SubmitRequest(caller, &peer, now);
  for (const TcpSegment& segment : connection.TakeSegments(now))
    SendSegment(segment, caller);
  peer.m_timer.RunBy(connection.NextDeadline());
  if (connection.Tcp().IsClosed())
    RemoveConnection(caller);
  m_load_history.Add(CurrentLoad(), now);
}

void BackendServer::SubmitRequest(base::Endpoint caller,
                                  Peer* peer,
                                  base::TimePoint now) {
  const Request& request = *peer->m_connection.ReceivedRequest();
  const JobId id(m_next_job++);
  peer->m_job = id;
  if (request.m_kind == RequestKind::kFeed) {
    // A feed occupies a connection, but no slot.
    ++m_counters.m_executions;
    m_executions.push_back(request.m_id.value());
    peer->m_connection.StartAnswer(now);
    return;
  }
  m_callers_of_jobs.emplace(id, caller);
  m_work.Submit({id, request.m_service_time, now + request.m_time_left});
  m_work_timer.RunBy(now);
}

void BackendServer::RemoveConnection(base::Endpoint caller) {
  const auto found = m_peers.find(caller);
  const Peer& peer = *found->second;
  if (peer.m_connection.IsMalformed())
    ++m_counters.m_malformed;
  if (peer.m_connection.Tcp().End() == TcpEnd::kTimedOut)
    ++m_counters.m_timed_out;
  if (peer.m_job && m_callers_of_jobs.erase(*peer.m_job) > 0) {
    const std::size_t queued = m_work.Queued();
    m_work.Cancel(*peer.m_job);
    ++(m_work.Queued() < queued ? m_counters.m_cancelled_queued
                                : m_counters.m_cancelled_running);
    m_work_timer.RunBy(EventLoop::Now());
  }
  m_peers.erase(found);
}

void BackendServer::AdvanceWork(base::TimePoint now) {
  for (const JobEvent& event : m_work.Advance(now))
    HandleJobEvent(event, now);
  m_load_history.Add(CurrentLoad(), now);
  m_work_timer.RunBy(m_work.NextDeadline());
}

void BackendServer::HandleJobEvent(const JobEvent& event, base::TimePoint now) {
  const auto job = m_callers_of_jobs.find(event.m_id);
  if (job == m_callers_of_jobs.end())
    return;
  const base::Endpoint caller = job->second;
  ServerConnection& connection = m_peers.at(caller)->m_connection;
  if (event.m_kind == JobEventKind::kStarted) {
    ++m_counters.m_executions;
    if (m_executions.size() < kMaximumRecordedExecutions)
      m_executions.push_back(connection.ReceivedRequest()->m_id.value());
    return;
  }
  m_callers_of_jobs.erase(job);
  if (event.m_kind == JobEventKind::kFinished) {
    connection.StartAnswer(now);
  } else {
    ++m_counters.m_not_run;
    connection.AnswerNotRun();
  }
  Update(caller, now);
}

// Line commands -------------------------------------------------------------

void BackendServer::AddCommands(LineCommands* commands) {
  commands->Add("drain",
                [this](const auto& words) { return StartDrain(words); });
  commands->Add("undrain", [this](const auto&) {
    m_drain = Drain::kNone;
    return CommandDone{};
  });
  commands->Add("shed", SwitchCommand([this](bool on) { m_shedding = on; }));
  commands->Add("silence", SwitchCommand([this](bool on) { m_silent = on; }));
  commands->Add("become",
                [this](const auto& words) { return ReplaceService(words); });
  commands->Add("lie",
                [this](const auto& words) { return SetFalseLoad(words); });
  commands->Add("truth", [this](const auto&) {
    m_false_busy.reset();
    return CommandDone{};
  });
  commands->Add("report", [this](const auto&) { return ReportLine(); });
  commands->Add("executions", [this](const auto&) { return ExecutionsLine(); });
  commands->Add("connections",
                [this](const auto&) { return ConnectionsLine(); });
}

CommandResult BackendServer::StartDrain(const LineCommands::Words& words) {
  const bool accepting = words.size() == 1 && words[0] == "accepting";
  if (!words.empty() && !accepting)
    return CommandFailed{"expected no argument or \"accepting\""};
  m_drain = accepting ? Drain::kAccepting : Drain::kRefusing;
  m_drain_start = EventLoop::Now();
  return CommandDone{};
}

CommandResult BackendServer::ReplaceService(const LineCommands::Words& words) {
  const auto address =
      words.size() == 2 ? base::ParseEndpoint(words[1]) : std::nullopt;
  if (!address)
    return CommandFailed{"expected SERVICE IP:PORT"};
  const base::TimePoint now = EventLoop::Now();
  m_options.m_service = words[0];
  m_options.m_service_address = *address;
  m_peers.clear();
  m_callers_of_jobs.clear();
  m_work = WorkQueue(m_options.m_slots, m_options.m_cold_start, now);
  m_drain = Drain::kNone;
  m_load_history.Add(CurrentLoad(), now);
  return CommandDone{};
}

CommandResult BackendServer::SetFalseLoad(const LineCommands::Words& words) {
  std::uint64_t busy = 0;
  if (words.size() != 1)
    return CommandFailed{"expected BUSY"};
  const char* end = words[0].data() + words[0].size();
  const auto [rest, error] = std::from_chars(words[0].data(), end, busy);
  if (error != std::errc() || rest != end)
    return CommandFailed{"BUSY is not an unsigned integer"};
  m_false_busy = busy;
  return CommandDone{};
}

}  // namespace stand_ins
