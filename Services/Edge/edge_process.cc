#include "edge_process.h"

#include <fmt/format.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <chrono>
#include <random>
#include <utility>

#include "LibBase/milliseconds.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibEdge/store_pacing.h"
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
// When calls to the store have failed for this long, or the balancer is not
// ready this long after its start, the balancer requests snapshots from peers.
constexpr base::Duration kStoreFailureGrace = milliseconds(500);
constexpr base::Duration kPeerRequestInterval = milliseconds(500);
// The routes count as current for this long after the store confirmed them.
// While they are current, an opening without a route is refused.
constexpr base::Duration kRoutesCurrentFor = milliseconds(1500);
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatusPath = "/status";
constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kBinaryType = "application/octet-stream";

std::uint64_t DrawSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

base::Duration BootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

base::Outcome<std::unique_ptr<EdgeProcess>> EdgeProcess::Create(
    const EdgeSettings& settings,
    const std::string& settings_path,
    std::optional<std::uint16_t> metrics_port) {
  std::unique_ptr<EdgeProcess> process(
      new EdgeProcess(settings, settings_path, metrics_port));
  if (auto listening = process->Listen(); !listening)
    return listening.error();
  return process;
}

EdgeProcess::EdgeProcess(const EdgeSettings& settings,
                         const std::string& settings_path,
                         std::optional<std::uint16_t> metrics_port)
    : m_metrics_port(metrics_port),
      m_settings(EffectiveSettings(settings)),
      m_settings_path(settings_path),
      m_log(STDOUT_FILENO, kLinesPerSecond),
      m_steering({settings.m_data_centre}, DrawSeed(), base::Clock::now()),
      m_servers(m_context,
                settings.m_store,
                adapter::Collection::kServers,
                MakeWatcherPolicy(settings),
                DrawSeed(),
                [this](const StoreUpdate& update) {
                  OnStoreUpdate(m_servers, update);
                }),
      m_manifests(m_context,
                  settings.m_store,
                  adapter::Collection::kManifests,
                  MakeWatcherPolicy(settings),
                  DrawSeed(),
                  [this](const StoreUpdate& update) {
                    OnStoreUpdate(m_manifests, update);
                  }),
      m_peers(m_context,
              [this](base::Endpoint peer,
                     const base::Outcome<catalog::Snapshot>& snapshot) {
                OnSnapshot(peer, snapshot);
              }),
      m_prober(
          m_context,
          [this](steering::ServerHandle server, steering::ProbeResult result) {
            OnProbeResult(server, result);
          }),
      m_started_at(base::Clock::now()) {
  m_peers.SetPeers(m_settings.m_seeds);
  if (const auto text = ReadSettingsFile(settings_path))
    m_settings_text = text.value();
}

EdgeSettings EdgeProcess::EffectiveSettings(EdgeSettings settings) const {
  if (m_metrics_port)
    settings.m_metrics.m_port = *m_metrics_port;
  // The process must not request a snapshot from itself.
  std::erase_if(settings.m_seeds, [&settings](base::Endpoint peer) {
    return settings.m_control && peer == *settings.m_control;
  });
  return settings;
}

base::Outcome<void> EdgeProcess::Listen() {
  TRY(packets,
      PacketLoop::Create(
          m_context, m_settings.m_packets, m_settings.m_caller_port, m_steering,
          m_decision_log, m_metrics, [this] { return CurrentViewVersion(); },
          [this](base::TimePoint now) { ProbeServers(now); }));
  m_packets = std::move(packets);
  TRY(readiness,
      event_loop::HttpTextServer::Create(
          m_context, m_settings.m_readiness,
          [this](std::string_view path) { return ReadinessResponse(path); }));
  m_readiness = std::move(readiness);
  TRY(metrics,
      event_loop::HttpTextServer::Create(
          m_context, m_settings.m_metrics,
          [this](std::string_view path) { return MetricsResponse(path); }));
  m_metrics_server = std::move(metrics);
  if (!m_settings.m_control)
    return base::Success();
  TRY(control,
      event_loop::HttpTextServer::Create(
          m_context, *m_settings.m_control,
          [this](std::string_view path) { return ControlResponse(path); }));
  m_control = std::move(control);
  return base::Success();
}

void EdgeProcess::Run() {
  signal(SIGPIPE, SIG_IGN);
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.add(SIGHUP);
  WaitForSignal();
  m_log.Write(Severity::kInfo, Event::kListening,
              {{"vm", m_settings.m_vm},
               {"data_centre", m_settings.m_data_centre.value()},
               {"packets", ToString(m_settings.m_packets)},
               {"metrics", ToString(m_settings.m_metrics)},
               {"store", ToString(m_settings.m_store)}});
  const base::TimePoint now = base::Clock::now();
  m_timers.timers().SubscribeEvery(
      now + kSweepPeriod, kSweepPeriod,
      [this](base::TimePoint time) { Sweep(time); });
  m_timers.timers().SubscribeEvery(
      now + kPeerRequestInterval, kPeerRequestInterval,
      [this](base::TimePoint time) { RequestSnapshotIfStoreFails(time); });
  m_timers.timers().SubscribeEvery(now + kSecond, kSecond,
                                   [this](base::TimePoint time) {
                                     m_log.WriteSummaries(time);
                                     UpdateGauges(time);
                                     ReloadIfChanged();
                                   });
  m_timers.Rearm();
  m_packets->Start();
  m_servers.Start();
  m_manifests.Start();
  m_context.run();
  m_log.Write(Severity::kInfo, Event::kShutdownFinished,
              {{"vm", m_settings.m_vm}});
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
  const auto servers = m_servers.watcher().KnownRevision();
  const auto manifest = m_manifests.watcher().KnownRevision();
  if (servers == catalog::Revision() && manifest == catalog::Revision())
    return {503, "nothing known\n"};
  auto snapshot =
      catalog::EncodeSnapshot(m_view.MakeSnapshot(servers, manifest));
  if (!snapshot) {
    if (m_log.Admit(Event::kSnapshotFailed, base::Clock::now()))
      m_log.Write(Severity::kError, Event::kSnapshotFailed,
                  {{"reason", snapshot.error().message()},
                   {"revision", servers.value()}});
    return {503, "the belief does not fit a snapshot\n"};
  }
  return {200, std::move(snapshot).value(), kBinaryType};
}

std::string EdgeProcess::RenderStatus() const {
  const ViewVersion version = CurrentViewVersion();
  const auto& directory = m_steering.directory();
  return fmt::format(
      R"({{"vm":{},"data_centre":{},"ready":{},"shutting_down":{},)"
      R"("manifest":{},"routes":{},"servers_ready":{},"servers_draining":{},)"
      R"("servers_revision":{},"servers_age_ms":{},"flows":{},)"
      R"("store_calls":{}}})"
      "\n",
      observability::QuoteJson(m_settings.m_vm),
      observability::QuoteJson(m_settings.m_data_centre.value()),
      m_steering.IsReady(), m_shutdown.has_value(), version.m_manifest_version,
      m_steering.routes().size(),
      directory.Count(steering::ServerState::kReady),
      directory.Count(steering::ServerState::kDraining),
      version.m_servers_revision,
      version.m_servers_age ? base::WholeMilliseconds(*version.m_servers_age)
                            : -1,
      m_steering.tracker().size(), m_servers.Calls() + m_manifests.Calls());
}

ViewVersion EdgeProcess::CurrentViewVersion() const {
  ViewVersion version;
  version.m_servers_revision = m_servers.watcher().KnownRevision().value();
  if (const auto confirmed = m_servers.watcher().ConfirmedAt())
    version.m_servers_age = base::Clock::now() - *confirmed;
  version.m_manifest_version = m_steering.routes().Version().value();
  return version;
}

bool EdgeProcess::AreRoutesCurrent(base::TimePoint now) const {
  const auto& watcher = m_manifests.watcher();
  if (watcher.FailingSince())
    return false;
  const auto confirmed = watcher.ConfirmedAt();
  return watcher.IsWatching() ||
         (confirmed && now - *confirmed < kRoutesCurrentFor);
}

void EdgeProcess::OnStoreUpdate(const StoreReader& reader,
                                const StoreUpdate& update) {
  const base::TimePoint now = base::Clock::now();
  const std::string_view collection =
      NameOf(adapter::kCollectionNames, reader.collection());
  const std::string_view result =
      update.m_failure ? NameOf(catalog::kCallFailureNames, *update.m_failure)
                       : "done";
  m_metrics.CountStoreCall(collection, result, update.m_call_time);
  if (update.m_failure && m_log.Admit(Event::kStoreCallFailed, now))
    m_log.Write(Severity::kWarning, Event::kStoreCallFailed,
                {{"collection", collection},
                 {"reason", result},
                 {"call_ms", base::WholeMilliseconds(update.m_call_time)},
                 {"revision", reader.watcher().KnownRevision().value()}});
  if (update.m_outcome.m_is_store_lost) {
    m_view.OnStoreLost();
    m_log.Write(Severity::kWarning, Event::kStoreLost,
                {{"collection", collection},
                 {"reason", update.m_failure ? result : "late_answer"}});
  }
  if (update.m_outcome.m_is_store_regained) {
    m_view.OnStoreRegained(now);
    m_log.Write(Severity::kInfo, Event::kStoreRegained,
                {{"collection", collection},
                 {"revision", reader.watcher().KnownRevision().value()}});
  }
  if (update.m_objects.m_ignored > 0 &&
      m_log.Admit(Event::kObjectsIgnored, now))
    m_log.Write(Severity::kWarning, Event::kObjectsIgnored,
                {{"collection", collection},
                 {"objects", std::uint64_t{update.m_objects.m_ignored}},
                 {"reason", "a necessary field is missing or unusable"}});
  LogFieldProblems(update.m_objects.m_problems, collection, now);
  if (reader.collection() == adapter::Collection::kServers)
    OnServers(update, now);
  else
    OnManifests(update);
  UpdateReadiness();
}

void EdgeProcess::OnServers(const StoreUpdate& update, base::TimePoint now) {
  if (update.m_outcome.m_update == catalog::CollectionUpdate::kChanged) {
    LogServerChanges(m_view.ApplyServerEvents(update.m_objects.m_servers, now),
                     "store");
    return;
  }
  if (update.m_outcome.m_update != catalog::CollectionUpdate::kListComplete)
    return;
  std::vector<steering::ServerRecord> records;
  for (const ServerEvent& event : update.m_objects.m_servers) {
    if (event.m_record)
      records.push_back(*event.m_record);
  }
  m_log.Write(Severity::kInfo, Event::kServersListed,
              {{"servers", std::uint64_t{records.size()}},
               {"revision", m_servers.watcher().KnownRevision().value()}});
  LogServerChanges(m_view.ApplyServerList(records, now), "store");
}

void EdgeProcess::OnManifests(const StoreUpdate& update) {
  for (const adapter::DecodedManifest& decoded : update.m_objects.m_manifests) {
    // A version that is read again is not reported again.
    if (ApplyManifest(decoded.m_manifest, "store"))
      LogFieldProblems(
          decoded.m_problems,
          NameOf(adapter::kCollectionNames, adapter::Collection::kManifests),
          base::Clock::now());
  }
}

void EdgeProcess::OnSnapshot(base::Endpoint peer,
                             const base::Outcome<catalog::Snapshot>& snapshot) {
  const base::TimePoint now = base::Clock::now();
  if (!snapshot) {
    if (m_log.Admit(Event::kSnapshotFailed, now))
      m_log.Write(
          Severity::kWarning, Event::kSnapshotFailed,
          {{"peer", ToString(peer)}, {"reason", snapshot.error().message()}});
    return;
  }
  const catalog::Snapshot& decoded = snapshot.value();
  if (m_servers.AdoptRevision(decoded.m_servers_revision)) {
    m_log.Write(Severity::kInfo, Event::kSnapshotTaken,
                {{"peer", ToString(peer)},
                 {"servers", std::uint64_t{decoded.m_servers.size()}},
                 {"revision", decoded.m_servers_revision.value()}});
    LogServerChanges(m_view.ApplyServerList(decoded.m_servers, now), "peer");
  }
  m_manifests.AdoptRevision(decoded.m_manifest_revision);
  if (decoded.m_manifest.m_version != base::ConfigurationVersion())
    ApplyManifest(decoded.m_manifest, "peer");
  UpdateReadiness();
}

bool EdgeProcess::ApplyManifest(const steering::Manifest& manifest,
                                std::string_view source) {
  const auto previous_version = m_steering.routes().Version();
  if (!m_view.ApplyManifest(manifest))
    return false;
  m_log.Write(Severity::kInfo, Event::kConfigurationInForce,
              {{"manifest", manifest.m_version.value()},
               {"former", previous_version.value()},
               {"routes", std::uint64_t{manifest.m_routes.size()}},
               {"source", source}});
  return true;
}

void EdgeProcess::LogFieldProblems(const adapter::FieldProblems& problems,
                                   std::string_view collection,
                                   base::TimePoint now) {
  for (const adapter::FieldProblem& problem : problems.list()) {
    const std::string_view consequence =
        NameOf(adapter::kConsequenceNames, problem.m_consequence);
    m_metrics.CountFieldProblem(problem.m_field, consequence);
    if (!m_log.Admit(Event::kFieldUnusable, now))
      continue;
    m_log.Write(Severity::kWarning, Event::kFieldUnusable,
                {{"collection", collection},
                 {"object", problem.m_object},
                 {"route", problem.m_route},
                 {"field", problem.m_field},
                 {"value", problem.m_value},
                 {"consequence", consequence},
                 {"manifest", m_steering.routes().Version().value()}});
  }
  if (problems.Omitted() > 0 && m_log.Admit(Event::kFieldUnusable, now))
    m_log.Write(Severity::kWarning, Event::kFieldUnusable,
                {{"collection", collection},
                 {"omitted", std::uint64_t{problems.Omitted()}}});
}

void EdgeProcess::LogServerChanges(const ServerChanges& changes,
                                   std::string_view source) {
  const base::TimePoint now = base::Clock::now();
  for (const ServerChange& change : changes) {
    const std::string_view name =
        NameOf(steering::kDirectoryChangeNames, change.m_change);
    m_metrics.CountServerChange(name);
    if (!m_log.Admit(Event::kServerChanged, now))
      continue;
    m_log.Write(Severity::kInfo, Event::kServerChanged,
                {{"change", name},
                 {"server", change.m_record.m_name.value()},
                 {"service", change.m_record.m_service},
                 {"endpoint", ToString(change.m_record.m_endpoint)},
                 {"data_centre", change.m_record.m_data_centre.value()},
                 {"incarnation", change.m_record.m_incarnation},
                 {"record_revision", change.m_record.m_revision},
                 {"revision", m_servers.watcher().KnownRevision().value()},
                 {"source", source}});
  }
}

void EdgeProcess::UpdateReadiness() {
  if (!m_steering.HasRoutesAndServers())
    return;
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
                                steering::ProbeResult result) {
  const base::TimePoint now = base::Clock::now();
  const steering::KnownServer* changed_server =
      m_steering.RecordProbeResult(handle, result, now);
  if (changed_server != nullptr)
    m_decision_log.WriteReachability(*changed_server, now);
  ProbeServers(now);
}

void EdgeProcess::WaitForSignal() {
  m_signals.async_wait([this](const std::error_code& error, int signal) {
    if (error)
      return;
    OnSignal(signal);
    WaitForSignal();
  });
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
}

void EdgeProcess::Sweep(base::TimePoint now) {
  CheckForPause(now);
  m_steering.SetRoutesCurrent(AreRoutesCurrent(now));
  LogServerChanges(m_view.ApplyDueRemovals(now), "lapse");
  const base::Duration overdue_after = m_steering.tracker().OverdueAfter();
  for (const steering::OverdueRequest& request : m_steering.Sweep(now)) {
    m_metrics.CountUnanswered();
    const auto* server = m_steering.directory().FindByHandle(request.m_server);
    if (server != nullptr)
      m_decision_log.WriteUnanswered(request, *server, overdue_after, now);
  }
  ProbeServers(now);
  m_packets->Sweep();
  StopIfDone(now);
  m_log.Flush();
}

void EdgeProcess::RequestSnapshotIfStoreFails(base::TimePoint now) {
  const auto has_failed_long = [now](const StoreReader& reader) {
    const auto failing = reader.watcher().FailingSince();
    return failing && now - *failing >= kStoreFailureGrace;
  };
  const bool is_slow_start =
      !m_steering.IsReady() && now - m_started_at >= kStoreFailureGrace;
  if (is_slow_start || has_failed_long(m_servers) ||
      has_failed_long(m_manifests))
    m_peers.RequestSnapshot();
}

void EdgeProcess::CheckForPause(base::TimePoint now) {
  const auto pause = m_pauses.DetectPause(BootTime());
  if (!pause)
    return;
  if (m_log.Admit(Event::kPauseDetected, now))
    m_log.Write(Severity::kWarning, Event::kPauseDetected,
                {{"pause_ms", base::WholeMilliseconds(*pause)}});
  // The view may be outdated, and the connections of open calls may be dead.
  m_servers.RestartCall();
  m_manifests.RestartCall();
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
  // The sockets stay bound to their addresses until the process restarts.
  const bool needs_restart = settings.m_packets != m_settings.m_packets ||
                             settings.m_readiness != m_settings.m_readiness ||
                             settings.m_control != m_settings.m_control ||
                             settings.m_metrics != m_settings.m_metrics;
  m_log.Write(Severity::kInfo, Event::kSettingsReloaded,
              {{"cause", cause},
               {"changed", settings != m_settings},
               {"needs_restart", needs_restart}});
  m_settings = settings;
  m_servers.Reconfigure(settings.m_store, MakeWatcherPolicy(settings));
  m_manifests.Reconfigure(settings.m_store, MakeWatcherPolicy(settings));
  m_peers.SetPeers(settings.m_seeds);
}

void EdgeProcess::ReloadIfChanged() {
  const auto text = ReadSettingsFile(m_settings_path);
  if (text && text.value() != m_settings_text)
    ReloadSettings(text, "file");
}

void EdgeProcess::UpdateGauges(base::TimePoint now) {
  const ViewVersion version = CurrentViewVersion();
  m_metrics.SetGauge(
      "coltsfootdale_servers_age_seconds",
      "Since the store confirmed the servers; -1: never",
      version.m_servers_age
          ? std::chrono::duration<double>(*version.m_servers_age).count()
          : -1.0);
  m_metrics.SetGauge("coltsfootdale_manifest_version",
                     "The manifest in force; 0: none",
                     static_cast<double>(version.m_manifest_version));
  m_metrics.SetGauge(
      "coltsfootdale_servers_ready", "Backend servers that take openings",
      static_cast<double>(
          m_steering.directory().Count(steering::ServerState::kReady)));
  m_metrics.SetGauge("coltsfootdale_probes",
                     "Probes of servers since the start",
                     static_cast<double>(m_prober.Probes()));
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
