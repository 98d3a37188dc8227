// One edge balancer process: connects the steering with sockets, timers and
// signals.
//
// All code runs on one thread. A decision about a packet takes a few
// microseconds and shares its state with the view of the store. On a VM with a
// few hundredths of a core, a second thread would only add context switches and
// locks.

#ifndef SERVICES_EDGE_EDGE_PROCESS_H_
#define SERVICES_EDGE_EDGE_PROCESS_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/time.h"
#include "LibEdge/bind_retry.h"
#include "LibEdge/edge_settings.h"
#include "LibEdge/pause_detector.h"
#include "LibEdge/shutdown_plan.h"
#include "LibEventLoop/http_text_server.h"
#include "LibEventLoop/timer_driver.h"
#include "LibObservability/non_blocking_log.h"
#include "LibSteering/steering.h"
#include "bind_failure.h"
#include "control_signals.h"
#include "decision_log.h"
#include "edge_metrics.h"
#include "exit_code.h"
#include "packet_loop.h"
#include "server_prober.h"
#include "view_updater.h"

namespace edge {

class EdgeProcess {
 public:
  // The process reads `settings_path` again on SIGHUP and when the file's
  // content changes. `metrics_port` overrides the port in the settings.
  // `extra_openings_percent` is the budget against slow answers; zero: none.
  EdgeProcess(asio::io_context& context,
              ControlSignals& signals,
              const EdgeSettings& settings,
              const std::string& settings_path,
              std::optional<std::uint16_t> metrics_port,
              double extra_openings_percent = 0);
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  // Commands.
  // Binds the sockets, for which it waits a bounded time, and runs until
  // SIGTERM or SIGINT. Returns kDone after a graceful shutdown, and
  // kUnreachable if a socket cannot be bound.
  ExitCode Run();

 private:
  // The settings with the metrics port of the command line, and without this
  // process among the peers.
  EdgeSettings EffectiveSettings(EdgeSettings settings) const;
  // Binds all sockets and starts, or binds none and tries again later.
  void TryToListen(base::TimePoint now);
  // Binds the sockets until one fails.
  std::optional<BindFailure> Listen();
  void CloseSockets();
  void HandleBindFailure(const BindFailure& failure, base::TimePoint now);
  // Serves with all sockets bound.
  void Start(base::TimePoint now);
  // Listens on `endpoint`. `name` is the listener's name in logs and metrics.
  base::Outcome<std::unique_ptr<event_loop::HttpTextServer>> ListenForHttp(
      std::string_view name,
      base::Endpoint endpoint,
      event_loop::HttpTextServer::Handler handler);
  void OnListenerProblem(std::string_view listener,
                         event_loop::ListenerProblem problem,
                         std::error_code error);
  event_loop::TextResponse ReadinessResponse(std::string_view path) const;
  event_loop::TextResponse MetricsResponse(std::string_view path);
  event_loop::TextResponse ControlResponse(std::string_view path);
  std::string RenderStatus() const;
  // Handles the pending packets once routes and servers are known, and logs
  // when the balancer is ready for the first time.
  void UpdateReadiness();
  void ProbeServers(base::TimePoint now);
  void OnProbeResult(steering::ServerHandle server,
                     steering::ProbeResult result,
                     std::uint64_t received_bytes);

  void OnSignal(int signal);
  void Sweep(base::TimePoint now);
  void LogSlowServers(base::TimePoint now);
  void CheckForPause(base::TimePoint now);
  // `text` is the result of ReadSettingsFile.
  void ReloadSettings(const base::Outcome<std::string>& text,
                      std::string_view cause);
  void ReloadIfChanged();
  void UpdateGauges(base::TimePoint now);
  void StopIfDone(base::TimePoint now);

  asio::io_context& m_context;
  ControlSignals& m_signals;
  std::optional<std::uint16_t> m_metrics_port;
  EdgeSettings m_settings;
  std::string m_settings_path;
  // The content of the settings file when it was last read.
  std::string m_settings_text;
  observability::NonBlockingLog m_log;
  EdgeMetrics m_metrics;
  event_loop::TimerDriver m_timers{m_context};
  steering::Steering m_steering;
  DecisionLog m_decision_log{m_log};
  ViewUpdater m_view;
  ServerProber m_prober;
  BindRetry m_bind_retry;
  std::optional<BindFailure> m_last_bind_failure;
  // All sockets are bound.
  bool m_is_listening = false;
  ExitCode m_exit_code = ExitCode::kDone;
  std::unique_ptr<PacketLoop> m_packets;
  std::unique_ptr<event_loop::HttpTextServer> m_readiness;
  std::unique_ptr<event_loop::HttpTextServer> m_metrics_server;
  std::unique_ptr<event_loop::HttpTextServer> m_control;
  PauseDetector m_pauses;
  std::optional<ShutdownPlan> m_shutdown;
  // The balancer has been ready at least once.
  bool m_was_ready = false;
  base::TimePoint m_started_at;
};

}  // namespace edge

#endif  // SERVICES_EDGE_EDGE_PROCESS_H_
