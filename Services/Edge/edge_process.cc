#include "edge_process.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "LibBase/asio_error.h"
#include "LibBase/milliseconds.h"
#include "boot_time.h"
#include "platform/names.h"
#include "settings_file.h"

namespace edge {

namespace {

using observability::Event;
using observability::Severity;
using std::chrono::milliseconds;

// Log lines per second of one event. The busiest VM of the observed deployments
// receives fewer than 100 requests per second.
constexpr std::uint64_t kLinesPerSecond = 100;
// This period is also the longest time for which a log line is buffered.
constexpr base::Duration kSweepPeriod = milliseconds(100);
constexpr base::Duration kSecond = milliseconds(1000);
constexpr base::Duration kPeerRequestInterval = milliseconds(500);
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/status";
constexpr std::string_view kJsonType = "application/json";

std::uint64_t DrawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

EdgeProcess::EdgeProcess(asio::io_context& context,
                         ControlSignals& signals,
                         const EdgeSettings& settings,
                         const std::string& settings_path,
                         std::optional<std::uint16_t> metrics_port,
                         double extra_openings_percent)
    : m_context(context),
      m_signals(signals),
      m_metrics_port(metrics_port),
      m_settings(EffectiveSettings(settings)),
      m_settings_path(settings_path),
      m_log(STDOUT_FILENO, kLinesPerSecond),
      m_steering({.m_data_centre = settings.m_data_centre,
                  .m_extra_openings_percent = extra_openings_percent},
                 DrawSeed(),
                 base::Clock::now()),
      m_view(m_context,
             m_settings,
             m_steering,
             m_log,
             m_metrics,
             [this] { UpdateReadiness(); }),
      m_prober(
          m_context,
          [this] { return m_view.ReceivedBodyBytes(); },
          [this](steering::ServerHandle server,
                 steering::ProbeResult result,
                 std::uint64_t received_bytes) {
            OnProbeResult(server, result, received_bytes);
          }),
      m_bind_retry(base::Clock::now(), settings.m_stop_grace),
      m_started_at(base::Clock::now()) {
  if (const auto text = ReadSettingsFile(settings_path))
    m_settings_text = text.value();
}

EdgeSettings EdgeProcess::EffectiveSettings(EdgeSettings settings) const {
  if (m_metrics_port)
    settings.m_metrics.m_port = *m_metrics_port;
  // The process must not request a snapshot from itself.
  settings.m_is_seed =
      std::erase_if(settings.m_seeds, [&settings](base::Endpoint peer) {
        return settings.m_control && peer == *settings.m_control;
      }) > 0;
  return settings;
}

ExitCode EdgeProcess::Run() {
  m_signals.SetHandler([this](int signal) { OnSignal(signal); });
  const base::TimePoint now = base::Clock::now();
  m_timers.timers().SubscribeEvery(now + kSecond, kSecond,
                                   [this](base::TimePoint time) {
                                     m_log.WriteSummaries(time);
                                     UpdateGauges(time);
                                     ReloadIfChanged();
                                   });
  TryToListen(now);
  m_timers.Rearm();
  m_context.run();
  if (m_exit_code == ExitCode::kDone)
    m_log.Write(Severity::kInfo, Event::kShutdownFinished,
                {{"vm", m_settings.m_vm}});
  return m_exit_code;
}

void EdgeProcess::TryToListen(base::TimePoint now) {
  auto failure = Listen();
  if (!failure) {
    m_is_listening = true;
    Start(now);
    return;
  }
  // Of two processes that wait, neither may hold a part of the ports.
  CloseSockets();
  failure->m_error = base::FromAsio(failure->m_error);
  HandleBindFailure(*failure, now);
  m_log.Flush();
}

std::optional<BindFailure> EdgeProcess::Listen() {
  auto packets = PacketLoop::Create(
      m_context, m_settings.m_packets, m_settings.m_caller_port, m_steering,
      m_decision_log, m_metrics,
      [this] { return m_view.Version(base::Clock::now()); },
      [this](base::TimePoint now) { ProbeServers(now); });
  if (!packets)
    return BindFailure{"packets", m_settings.m_packets, packets.error()};
  m_packets = std::move(packets).value();
  m_packets->SetNewerViewHandler(
      [this](std::optional<base::TimePoint> needed_as_of, base::TimePoint now) {
        m_view.RequestNewerView(needed_as_of, now);
      });
  auto metrics = ListenForHttp(
      "metrics", m_settings.m_metrics,
      [this](std::string_view path) { return MetricsResponse(path); });
  if (!metrics)
    return BindFailure{"metrics", m_settings.m_metrics, metrics.error()};
  m_metrics_server = std::move(metrics).value();
  if (m_settings.m_control) {
    auto control = ListenForHttp(
        "control", *m_settings.m_control,
        [this](std::string_view path) { return ControlResponse(path); });
    if (!control)
      return BindFailure{"control", *m_settings.m_control, control.error()};
    m_control = std::move(control).value();
  }
  auto readiness = ListenForHttp(
      "readiness", m_settings.m_readiness,
      [this](std::string_view path) { return ReadinessResponse(path); });
  if (!readiness)
    return BindFailure{"readiness", m_settings.m_readiness, readiness.error()};
  m_readiness = std::move(readiness).value();
  if (const auto feed = m_view.Listen(m_settings.m_feed); !feed)
    return BindFailure{"feed", *m_settings.m_feed, feed.error()};
  return std::nullopt;
}

base::Outcome<std::unique_ptr<event_loop::HttpTextServer>>
EdgeProcess::ListenForHttp(std::string_view name,
                           base::Endpoint endpoint,
                           event_loop::HttpTextServer::Handler handler) {
  return event_loop::HttpTextServer::Create(
      m_context, endpoint, std::move(handler),
      [this, name](event_loop::ListenerProblem problem, std::error_code error) {
        OnListenerProblem(name, problem, error);
      });
}

void EdgeProcess::OnListenerProblem(std::string_view listener,
                                    event_loop::ListenerProblem problem,
                                    std::error_code error) {
  const std::string_view problem_name =
      NameOf(event_loop::kListenerProblemNames, problem);
  m_metrics.CountListenerProblem(listener, problem_name);
  if (m_log.Admit(Event::kListenerProblem, base::Clock::now()))
    m_log.Write(Severity::kWarning, Event::kListenerProblem,
                {{"listener", listener},
                 {"problem", problem_name},
                 {"error", error ? error.message() : "none"}});
}

void EdgeProcess::CloseSockets() {
  m_readiness.reset();
  m_control.reset();
  m_metrics_server.reset();
  m_packets.reset();
}

void EdgeProcess::HandleBindFailure(const BindFailure& failure,
                                    base::TimePoint now) {
  const bool may_retry = m_bind_retry.MayRetry(failure.m_error, now);
  if (!may_retry || failure != m_last_bind_failure)
    m_log.Write(may_retry ? Severity::kWarning : Severity::kError,
                may_retry ? Event::kBindDelayed : Event::kBindFailed,
                {{"socket", failure.m_socket},
                 {"endpoint", ToString(failure.m_endpoint)},
                 {"error", failure.m_error.message()},
                 {"waited_ms", base::WholeMilliseconds(now - m_started_at)}});
  m_last_bind_failure = failure;
  if (may_retry) {
    m_timers.timers().SubscribeOnce(
        now + BindRetry::kInterval,
        [this](base::TimePoint time) { TryToListen(time); });
    return;
  }
  m_exit_code = ExitCode::kUnreachable;
  m_context.stop();
}

void EdgeProcess::Start(base::TimePoint now) {
  m_log.Write(Severity::kInfo, Event::kListening,
              {{"vm", m_settings.m_vm},
               {"data_centre", m_settings.m_data_centre.value()},
               {"packets", ToString(m_settings.m_packets)},
               {"metrics", ToString(m_settings.m_metrics)},
               {"store", ToString(m_settings.m_store)}});
  m_timers.timers().SubscribeEvery(
      now + kSweepPeriod, kSweepPeriod,
      [this](base::TimePoint time) { Sweep(time); });
  m_timers.timers().SubscribeEvery(
      now + kPeerRequestInterval, kPeerRequestInterval,
      [this](base::TimePoint time) { m_view.RequestSnapshotIfCutOff(time); });
  m_packets->Start();
  m_view.Start();
}

event_loop::TextResponse EdgeProcess::ReadinessResponse(
    std::string_view path) const {
  if (path != adapter::kReadinessPath)
    return {404, "unknown path\n"};
  if (m_shutdown)
    return {503, "shutting down\n"};
  if (!m_steering.IsReady())
    return {503, "no servers or no routes known\n"};
  if (!m_steering.HasReachableServer())
    return {503, "no server can be reached\n"};
  return {200, "ready\n"};
}

event_loop::TextResponse EdgeProcess::MetricsResponse(std::string_view path) {
  if (path == kMetricsPath)
    return {200, m_metrics.Render()};
  if (path == kStatusPath)
    return {200, RenderStatus(), kJsonType};
  return {404, "unknown path\n"};
}

event_loop::TextResponse EdgeProcess::ControlResponse(std::string_view path) {
  if (path != kSnapshotPath)
    return {404, "unknown path\n"};
  return m_view.SnapshotResponse();
}

std::string EdgeProcess::RenderStatus() const {
  const ViewVersion version = m_view.Version(base::Clock::now());
  const auto& directory = m_steering.directory();
  std::vector<std::string> evacuated;
  for (const base::DataCentreId& data_centre : directory.Evacuated())
    evacuated.push_back(observability::QuoteJson(data_centre.value()));
  return fmt::format(
      R"({{"vm":{},"data_centre":{},"ready":{},"shutting_down":{},)"
      R"("manifest":{},"routes":{},"servers_ready":{},"servers_draining":{},)"
      R"("store_era":{},"servers_revision":{},"servers_age_ms":{},)"
      R"("confirmed_by":{},"flows":{},)"
      R"("store_calls":{},"reader":{},"evacuated":[{}],"exchanges_load":{},)"
      R"("live_balancers":{}}})"
      "\n",
      observability::QuoteJson(m_settings.m_vm),
      observability::QuoteJson(m_settings.m_data_centre.value()),
      m_steering.IsReady(), m_shutdown.has_value(), version.m_manifest_version,
      m_steering.routes().size(),
      directory.Count(steering::ServerState::kReady),
      directory.Count(steering::ServerState::kDraining), version.m_store_era,
      version.m_servers_revision,
      version.m_view_age ? base::WholeMilliseconds(*version.m_view_age) : -1,
      observability::QuoteJson(ConfirmedBy(version)),
      m_steering.tracker().size(), m_view.StoreCalls(), m_view.IsReader(),
      fmt::join(evacuated, ","), m_view.ExchangesLoad(),
      m_view.Fleet().LiveBalancers(base::Clock::now()).value_or(0));
}

void EdgeProcess::UpdateReadiness() {
  if (!m_steering.HasRoutesAndServers())
    return;
  m_packets->HandlePacketsAwaitingView();
  const std::size_t handled = m_packets->HandlePendingPackets();
  if (handled > 0)
    m_log.Write(Severity::kInfo, Event::kPacketsHeld,
                {{"packets", std::uint64_t{handled}},
                 {"reason", "arrived before routes and servers were known"}});
  if (m_was_ready || !m_steering.IsReady())
    return;
  m_was_ready = true;
  m_log.Write(
      Severity::kInfo, Event::kReady,
      {{"after_ms", base::WholeMilliseconds(base::Clock::now() - m_started_at)},
       {"manifest", m_steering.routes().Version().value()},
       {"servers", std::uint64_t{m_steering.directory().Count(
                       steering::ServerState::kReady)}}});
}

void EdgeProcess::ProbeServers(base::TimePoint now) {
  for (const steering::KnownServer* server : m_steering.StartDueProbes(now))
    m_prober.Probe(*server,
                   m_steering.routes().HealthPath(server->m_record.m_service));
}

void EdgeProcess::OnProbeResult(steering::ServerHandle handle,
                                steering::ProbeResult result,
                                std::uint64_t received_bytes) {
  const base::TimePoint now = base::Clock::now();
  if (result == steering::ProbeResult::kNotSent &&
      m_log.Admit(Event::kProbeNotSent, now))
    m_log.Write(Severity::kWarning, Event::kProbeNotSent,
                {{"probes", m_prober.Probes()}});
  const steering::ProbeEffect effect =
      m_steering.RecordProbeResult(handle, result, now, received_bytes);
  if (effect.m_is_changed)
    m_decision_log.WriteReachability(*effect.m_server, now);
  if (effect.m_is_inconclusive) {
    m_metrics.CountInconclusiveProbe();
    m_decision_log.WriteInconclusiveProbe(*effect.m_server, received_bytes,
                                          now);
  }
  ProbeServers(now);
}

void EdgeProcess::OnSignal(int signal) {
  if (signal == SIGHUP) {
    ReloadSettings(ReadSettingsFile(m_settings_path), "signal");
    return;
  }
  if (m_shutdown)
    return;
  m_shutdown.emplace(base::Clock::now(), m_settings.m_stop_grace);
  m_log.Write(Severity::kInfo, Event::kShutdownStarted,
              {{"signal", signal},
               {"grace_ms", base::WholeMilliseconds(m_settings.m_stop_grace)},
               {"flows", std::uint64_t{m_steering.tracker().size()}}});
  if (!m_is_listening)
    m_context.stop();
}

void EdgeProcess::Sweep(base::TimePoint now) {
  CheckForPause(now);
  m_view.Sweep(now);
  const base::Duration overdue_after = m_steering.tracker().OverdueAfter();
  for (const steering::OverdueRequest& request : m_steering.Sweep(now)) {
    m_metrics.CountUnanswered();
    const auto* server = m_steering.directory().FindByHandle(request.m_server);
    if (server != nullptr)
      m_decision_log.WriteUnanswered(request, *server, overdue_after, now);
  }
  LogSlowServers(now);
  ProbeServers(now);
  m_packets->HandlePacketsAwaitingView();
  m_packets->Sweep();
  StopIfDone(now);
  m_log.Flush();
}

void EdgeProcess::LogSlowServers(base::TimePoint now) {
  for (const steering::SlowServerChange& change :
       m_steering.TakeSlowServerChanges()) {
    const auto* server = m_steering.directory().FindByHandle(change.m_server);
    if (server != nullptr)
      m_decision_log.WriteSlowness(*server, change.m_is_slow, now);
  }
}

void EdgeProcess::CheckForPause(base::TimePoint now) {
  const auto pause = m_pauses.DetectPause(BootTime());
  if (!pause)
    return;
  if (m_log.Admit(Event::kPauseDetected, now))
    m_log.Write(Severity::kWarning, Event::kPauseDetected,
                {{"pause_ms", base::WholeMilliseconds(*pause)}});
  m_view.OnPaused(now);
}

void EdgeProcess::ReloadSettings(const base::Outcome<std::string>& text,
                                 std::string_view cause) {
  if (text)
    m_settings_text = text.value();
  const auto result = DecodeSettings(text);
  if (const auto* problems = std::get_if<configuration::Problems>(&result)) {
    for (const configuration::Problem& problem : *problems) {
      if (m_log.Admit(Event::kSettingsRefused, base::Clock::now()))
        m_log.Write(Severity::kError, Event::kSettingsRefused,
                    {{"cause", cause}, {"problem", ToString(problem)}});
    }
    return;
  }
  const EdgeSettings settings =
      EffectiveSettings(std::get<EdgeSettings>(result));
  // Bound sockets keep their addresses until the process restarts.
  const bool needs_restart =
      m_is_listening && (settings.m_packets != m_settings.m_packets ||
                         settings.m_readiness != m_settings.m_readiness ||
                         settings.m_control != m_settings.m_control ||
                         settings.m_feed != m_settings.m_feed ||
                         settings.m_metrics != m_settings.m_metrics);
  m_log.Write(Severity::kInfo, Event::kSettingsReloaded,
              {{"cause", cause},
               {"changed", settings != m_settings},
               {"needs_restart", needs_restart}});
  m_settings = settings;
  m_view.Reconfigure(settings);
}

void EdgeProcess::ReloadIfChanged() {
  const auto text = ReadSettingsFile(m_settings_path);
  if (text && text.value() != m_settings_text)
    ReloadSettings(text, "file");
}

void EdgeProcess::UpdateGauges(base::TimePoint now) {
  const ViewVersion version = m_view.Version(now);
  m_metrics.SetGauge(
      "coltsfootdale_servers_age_seconds",
      "Age of the view of servers and manifest; -1: unknown",
      version.m_view_age
          ? std::chrono::duration<double>(*version.m_view_age).count()
          : -1.0);
  m_metrics.SetGauge("coltsfootdale_store_era",
                     "How often the store came back from a copy, as it says",
                     static_cast<double>(version.m_store_era));
  m_metrics.SetGauge("coltsfootdale_manifest_version",
                     "The manifest in force; 0: none",
                     static_cast<double>(version.m_manifest_version));
  m_metrics.SetGauge(
      "coltsfootdale_servers_ready", "Backend servers that take openings",
      static_cast<double>(
          m_steering.directory().Count(steering::ServerState::kReady)));
  m_metrics.SetGauge(
      "coltsfootdale_evacuations", "Data centres that are evacuated",
      static_cast<double>(m_steering.directory().Evacuated().size()));
  if (m_view.ExchangesLoad())
    m_metrics.SetGauge(
        "coltsfootdale_live_balancers",
        "Balancers that reported their load of late; 0: not known",
        static_cast<double>(m_view.Fleet().LiveBalancers(now).value_or(0)));
  m_metrics.SetGauge("coltsfootdale_probes",
                     "Probes of servers since the start",
                     static_cast<double>(m_prober.Probes()));
  if (m_steering.extra_openings().IsEnabled())
    m_metrics.SetExtraOpenings(m_steering.extra_openings());
  m_metrics.SetGauge("coltsfootdale_flows", "Flows seen of late",
                     static_cast<double>(m_steering.tracker().size()));
  m_metrics.SetGauge("coltsfootdale_log_lines_dropped",
                     "Log lines that standard output did not take",
                     static_cast<double>(m_log.DroppedLines()));
  m_metrics.SetGauge("coltsfootdale_uptime_seconds",
                     "Since the start of the process",
                     std::chrono::duration<double>(now - m_started_at).count());
}

void EdgeProcess::StopIfDone(base::TimePoint now) {
  if (m_shutdown && m_shutdown->MayExit(m_packets->LastPacket(), now))
    m_context.stop();
}

}  // namespace edge
