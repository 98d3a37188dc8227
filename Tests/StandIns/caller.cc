#include "StandIns/caller.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "StandIns/event_loop.h"
#include "StandIns/tcp_packet.h"

namespace stand_ins {

namespace {

constexpr auto kProgressInterval = std::chrono::seconds(1);

// The back-off before the first retry of a refused request; doubles for each
// further retry.
constexpr auto kFirstRetryBackOff = std::chrono::milliseconds(100);
constexpr int kMaximumRetries = 16;

UdpPort::Bytes AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

base::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

Caller::Caller(EventLoop* loop, const CallerOptions& options, Printer print)
    : m_loop(loop),
      m_options(options),
      m_print(std::move(print)),
      m_random(options.m_seed),
      m_requests(options.m_requests),
      m_ports(options.m_low_port, options.m_high_port, options.m_port_reuse) {}

base::Outcome<void> Caller::Open() {
  TRY(socket, UdpPort::Open(&m_loop->Context(), {m_options.m_address, 0}));
  m_socket = std::move(socket);
  m_socket->StartReceiving(
      [this](auto datagram, base::Endpoint) { HandleDatagram(datagram); });
  return base::Success();
}

// Reports -------------------------------------------------------------------

JsonLine Caller::ListeningLine() const {
  JsonLine line("listening");
  line.Add("caller", base::ToString(m_socket->LocalEndpoint()))
      .Add("seed", m_options.m_seed);
  return line;
}

void Caller::AddCounters(JsonLine* line) const {
  AnswerTotals answers = m_report.ClosedAnswers();
  const base::TimePoint now = EventLoop::Now();
  for (const auto& [port, open] : m_flows)
    answers.Add(open->m_flow, now);
  const std::chrono::duration<double, std::milli> longest_gap =
      answers.m_longest_event_gap;
  line->Add("open", m_undecided);
  m_report.AddCountersTo(line);
  line->Add("wrong_bytes", answers.m_wrong_bytes)
      .Add("crossed_answers", answers.m_misdelivered_answers)
      .Add("foreign_packets", m_foreign_packets)
      .Add("feed_events", answers.m_feed_events)
      .Add("feed_gaps", answers.m_feed_gaps)
      .Add("feed_longest_gap_ms", longest_gap.count());
}

JsonLine Caller::ReportLine() const {
  JsonLine line("report");
  line.Add("final", m_stopping && m_undecided == 0);
  AddCounters(&line);
  m_report.AddWaitsTo(&line);
  return line;
}

JsonLine Caller::ProgressLine() const {
  JsonLine line("progress");
  AddCounters(&line);
  return line;
}

void Caller::AddCommands(LineCommands* commands) {
  commands->Add("report", [this](const auto&) { return ReportLine(); });
  commands->Add("refused_ids",
                [this](const auto&) { return RefusedIdsLine(); });
  commands->Add("stop", [this](const auto&) {
    StopOpening(EventLoop::Now());
    return CommandDone{};
  });
  commands->Add("fabric",
                [this](const auto& words) { return SetFabric(words); });
}

CommandResult Caller::SetFabric(const LineCommands::Words& words) {
  const auto fabric =
      words.size() == 1 ? base::ParseEndpoint(words[0]) : std::nullopt;
  if (!fabric)
    return CommandFailed{"expected the fabric's endpoint as IP:PORT"};
  m_options.m_fabric = *fabric;
  return CommandDone{};
}

// Openings ------------------------------------------------------------------

void Caller::Start() {
  const base::TimePoint now = EventLoop::Now();
  m_opening_end = now + m_options.m_duration;
  base::TimerService& timers = m_loop->Timers();
  timers.SubscribeEvery(now + kProgressInterval, kProgressInterval,
                        [this](auto) {
                          if (!m_final_report_sent)
                            m_print(ProgressLine());
                        });
  timers.SubscribeOnce(m_opening_end,
                       [this](base::TimePoint time) { StopOpening(time); });
  ScheduleOpening(now);
}

void Caller::ScheduleOpening(base::TimePoint when) {
  const bool limit_reached =
      m_options.m_maximum_flows != 0 && m_opened >= m_options.m_maximum_flows;
  if (limit_reached || m_options.m_openings_per_second <= 0)
    return;
  // The next time counts from the planned time of the last opening, so that a
  // late timer does not lower the rate.
  const double gap_seconds =
      DrawExponential(&m_random, 1 / m_options.m_openings_per_second);
  const base::TimePoint next = when + FromSeconds(gap_seconds);
  m_loop->Timers().SubscribeOnce(next, [this, next](base::TimePoint now) {
    if (m_stopping)
      return;
    OpenNext(now);
    ScheduleOpening(next);
  });
}

void Caller::OpenNext(base::TimePoint now) {
  ++m_opened;
  m_report.CountFirstOpening();
  if (!OpenFlowFor({m_requests.Next(&m_random), now, 0}, now))
    m_report.CountSkipped();
}

bool Caller::OpenFlowFor(const Attempt& attempt, base::TimePoint now) {
  const auto port = m_ports.Acquire();
  if (!port)
    return false;
  FlowLimits limits;
  limits.m_first_attempt_time = attempt.m_first_attempt_time;
  limits.m_deadline = attempt.m_first_attempt_time + m_options.m_deadline;
  limits.m_silence = m_options.m_silence;
  limits.m_upload_interval = m_options.m_upload_interval;
  if (m_options.m_port_reuse == PortReuse::kShortestFree)
    limits.m_tcp.m_time_wait = base::Duration::zero();
  CallerFlow flow(attempt.m_request, m_options.m_service_address, limits,
                  static_cast<std::uint32_t>(m_random.Next()), now);
  auto open = std::make_unique<OpenFlow>(
      std::move(flow), attempt, m_options.m_fabric, &m_loop->Timers(),
      [this, port = *port](base::TimePoint time) { HandleTimer(port, time); });
  m_flows.emplace(*port, std::move(open));
  ++m_undecided;
  Update(*port, now);
  return true;
}

void Caller::StopOpening(base::TimePoint now) {
  m_stopping = true;
  std::vector<std::uint16_t> ports;
  for (const auto& [port, open] : m_flows)
    ports.push_back(port);
  for (const std::uint16_t port : ports)
    Update(port, now);
  ReportIfFinished();
}

// Packets -------------------------------------------------------------------

void Caller::HandleDatagram(UdpPort::Bytes datagram) {
  const auto packet = ParsePacket(datagram);
  if (!packet)
    return;
  if (packet->m_source != m_options.m_service_address ||
      packet->m_destination.m_address != m_options.m_address) {
    ++m_foreign_packets;
    return;
  }
  const base::TimePoint now = EventLoop::Now();
  const std::uint16_t port = packet->m_destination.m_port;
  const auto found = m_flows.find(port);
  if (found != m_flows.end()) {
    found->second->m_flow.Receive(packet->m_segment, now);
    Update(port, now);
  } else if (const auto reset = ResetForNoConnection(packet->m_segment)) {
    SendSegment(*reset, port, m_options.m_fabric);
  }
}

void Caller::HandleTimer(std::uint16_t port, base::TimePoint now) {
  const auto found = m_flows.find(port);
  if (found == m_flows.end())
    return;
  found->second->m_flow.Advance(now);
  Update(port, now);
}

void Caller::Update(std::uint16_t port, base::TimePoint now) {
  const auto found = m_flows.find(port);
  if (found == m_flows.end())
    return;
  OpenFlow& open = *found->second;
  CallerFlow& flow = open.m_flow;
  if (m_stopping)
    flow.FinishFeed(now);
  for (const TcpSegment& segment : flow.TakeSegments(now))
    SendSegment(segment, port, open.m_fabric);
  if (flow.WasEstablished() && !open.m_established_counted) {
    open.m_established_counted = true;
    m_report.CountEstablished();
  }
  if (flow.Result() != FlowResult::kOpen && !open.m_result_counted) {
    open.m_result_counted = true;
    HandleResult(open, now);
  }
  open.m_timer.RunBy(flow.NextDeadline());
  if (flow.IsConnectionClosed()) {
    m_report.CountClosed(flow, now);
    m_flows.erase(found);
    m_ports.Release(port);
  }
  ReportIfFinished();
}

void Caller::HandleResult(const OpenFlow& open, base::TimePoint now) {
  if (IsBroken(open.m_flow.Result()))
    PrintLine(open.m_flow.BrokenLine(now));
  const bool retried = ScheduleRetry(open, now);
  m_report.CountResult(open.m_flow, !retried);
  if (!retried)
    --m_undecided;
}

bool Caller::ScheduleRetry(const OpenFlow& open, base::TimePoint now) {
  const FlowResult result = open.m_flow.Result();
  Attempt attempt = open.m_attempt;
  const int limit = std::min(m_options.m_retries_not_run, kMaximumRetries);
  if (!IsRefusedAsNotRun(result) || attempt.m_previous_attempts >= limit)
    return false;
  const double jitter = 0.5 + m_random.Unit();
  const auto back_off = std::chrono::duration_cast<base::Duration>(
      kFirstRetryBackOff * (1U << attempt.m_previous_attempts) * jitter);
  const base::TimePoint when = now + back_off;
  if (when >= attempt.m_first_attempt_time + m_options.m_deadline)
    return false;
  ++attempt.m_previous_attempts;
  m_loop->Timers().SubscribeOnce(when,
                                 [this, attempt, result](base::TimePoint time) {
                                   Retry(attempt, result, time);
                                 });
  return true;
}

void Caller::Retry(const Attempt& attempt,
                   FlowResult last_result,
                   base::TimePoint now) {
  --m_undecided;
  if (OpenFlowFor(attempt, now))
    m_report.CountRetry(attempt.m_request.m_id);
  else
    m_report.CountAbandonedRetry(last_result);
  ReportIfFinished();
}

void Caller::ReportIfFinished() {
  if (!m_stopping || m_undecided > 0 || m_final_report_sent)
    return;
  m_final_report_sent = true;
  m_print(ReportLine());
}

void Caller::SendSegment(const TcpSegment& segment,
                         std::uint16_t port,
                         base::Endpoint fabric) {
  const TcpPacket packet{
      {m_options.m_address, port}, m_options.m_service_address, segment};
  m_socket->Send(AsBytes(BuildPacket(packet)), fabric);
}

}  // namespace stand_ins
