#include "edge_fleet.h"

#include <signal.h>
#include <sys/wait.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "invariant_checker.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

// The router polls readiness twice a second and removes a balancer after two
// missed polls.
constexpr base::Duration kPollPeriod = milliseconds(500);
constexpr base::Duration kPollTimeout = milliseconds(400);
constexpr int kMissedPollsToRemove = 2;
constexpr base::Duration kExitCheckPeriod = milliseconds(20);

}  // namespace

EdgeFleet::EdgeFleet(stand_ins::EventLoop* loop,
                     InvariantChecker* checker,
                     Network network,
                     const DeploymentProfile& profile,
                     std::uint32_t edges,
                     std::string program,
                     std::string directory)
    : m_loop(loop),
      m_checker(checker),
      m_network(network),
      m_profile(profile),
      m_network_size(edges),
      m_program_path(std::move(program)),
      m_directory(std::move(directory)),
      m_client(loop->Context()) {
  for (std::uint32_t index = 0; index < edges; ++index) {
    auto edge = std::make_unique<Edge>();
    edge->m_index = index;
    edge->m_fault_plan = std::make_unique<stand_ins::FaultPlan>(
        stand_ins::ProxyProtocol::kTcp, index);
    edge->m_store_proxy = std::make_unique<stand_ins::TcpProxy>(
        loop, edge->m_fault_plan.get(), m_network.Store());
    stand_ins::TcpProxy* proxy = edge->m_store_proxy.get();
    edge->m_fault_plan->AddCommands(&edge->m_fault_commands,
                                    [proxy] { proxy->ApplyRules(); });
    if (!proxy->Open(m_network.StoreProxy(index)))
      throw std::runtime_error("cannot open the proxy to the store");
    ChangeSettings(index, {.m_drain_bound_ms = m_profile.m_drain_bound_ms,
                           .m_first_seed = 0});
    Start(*edge);
    m_edges.push_back(std::move(edge));
  }
  const base::TimePoint now = stand_ins::EventLoop::Now();
  loop->Timers().SubscribeEvery(now, kPollPeriod,
                                [this](base::TimePoint) { Poll(); });
  loop->Timers().SubscribeEvery(now, kExitCheckPeriod,
                                [this](base::TimePoint) { RestartExited(); });
}

std::optional<base::Endpoint> EdgeFleet::Route(
    const flow::FlowKey& flow) const {
  std::vector<std::uint32_t> in_rotation;
  for (const auto& edge : m_edges) {
    if (edge->m_missed_polls < kMissedPollsToRemove)
      in_rotation.push_back(edge->m_index);
  }
  if (in_rotation.empty())
    return std::nullopt;
  const std::uint32_t chosen =
      in_rotation[flow::HashFlow(flow) % in_rotation.size()];
  return base::Endpoint{m_network.Edge(chosen), kPacketPort};
}

bool EdgeFleet::AreAllReady() const {
  for (const auto& edge : m_edges) {
    if (edge->m_missed_polls > 0)
      return false;
  }
  return true;
}

std::vector<std::uint32_t> EdgeFleet::Readers() const {
  std::vector<std::uint32_t> readers;
  for (const auto& edge : m_edges) {
    std::ifstream log(LogPath(edge->m_index));
    bool is_reader = false;
    for (std::string line; std::getline(log, line);) {
      if (line.find(R"("event":"reader_started")") != std::string::npos)
        is_reader = true;
      else if (line.find(R"("event":"reader_stopped")") != std::string::npos)
        is_reader = false;
    }
    if (is_reader)
      readers.push_back(edge->m_index);
  }
  return readers;
}

std::vector<base::Endpoint> EdgeFleet::ReadyEdges() const {
  std::vector<base::Endpoint> ready;
  for (const auto& edge : m_edges) {
    if (edge->m_missed_polls == 0)
      ready.push_back({m_network.Edge(edge->m_index), kPacketPort});
  }
  return ready;
}

void EdgeFleet::Signal(std::uint32_t index,
                       int signal,
                       base::Duration restart_after) {
  Edge& edge = *m_edges[index];
  if (edge.m_is_exit_expected && signal != SIGHUP)
    return;
  edge.m_program->Signal(signal);
  if (signal != SIGKILL && signal != SIGTERM)
    return;
  edge.m_is_exit_expected = true;
  m_loop->Timers().SubscribeOnce(
      stand_ins::EventLoop::Now() + restart_after,
      [this, index](base::TimePoint) { Start(*m_edges[index]); });
}

void EdgeFleet::Stop(std::uint32_t index, base::Duration grace) {
  Edge& edge = *m_edges[index];
  if (edge.m_is_exit_expected)
    return;
  edge.m_program->Signal(SIGTERM);
  edge.m_is_exit_expected = true;
  edge.m_kill_at = stand_ins::EventLoop::Now() + grace;
}

void EdgeFleet::Pause(std::uint32_t index, base::Duration length) {
  const Edge& edge = *m_edges[index];
  edge.m_program->Signal(SIGSTOP);
  m_loop->Timers().SubscribeOnce(stand_ins::EventLoop::Now() + length,
                                 [this, index](base::TimePoint) {
                                   m_edges[index]->m_program->Signal(SIGCONT);
                                 });
}

void EdgeFleet::InjectStorePathFault(std::uint32_t index,
                                     const std::string& rule,
                                     base::Duration length) {
  m_edges[index]->m_fault_commands.Execute(rule);
  m_loop->Timers().SubscribeOnce(
      stand_ins::EventLoop::Now() + length, [this, index](base::TimePoint) {
        m_edges[index]->m_fault_commands.Execute("heal");
      });
}

void EdgeFleet::ChangeSettings(std::uint32_t index, const Changes& changes) {
  const std::string ip = ToString(m_network.Edge(index));
  const auto at = [&ip](std::uint16_t port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"";
  };
  std::string seeds;
  for (std::uint32_t other = 0; other < m_network_size && other < 3; ++other)
    seeds +=
        std::string(other == 0 ? "" : ",") + "\"" +
        ToString(base::Endpoint{
            m_network.Edge((changes.m_first_seed + other) % m_network_size),
            kControlPort}) +
        "\"";
  std::string topology;
  if (m_profile.m_has_topology) {
    topology = R"("region":"region-0","limits":{"link_mbps":)" +
               std::to_string(m_profile.m_link_mbps) + R"(},"zones":{)";
    for (std::uint32_t i = 0; i < m_profile.m_data_centres; ++i)
      topology += std::string(i == 0 ? "" : ",") + R"("hall-)" +
                  std::to_string(i) + R"(":"region-0")";
    topology += "},";
  }
  const std::string path = SettingsPath(index);
  // The rename replaces the file atomically: a balancer never reads a partly
  // written one.
  std::ofstream(path + ".new")
      << R"({"node_name":"edge-)" << index << R"(","zone":"hall-)"
      << index % m_profile.m_data_centres << R"(",)" << topology
      << R"("listen":{"datagram_addr":)" << at(kPacketPort)
      << R"(,"ready_addr":)" << at(kReadinessPort) << R"(,"control":)"
      << at(kControlPort) << R"(},"internal_ports":[)" << kMetricsPort
      << R"(,17735],"seeds":[)" << seeds
      << R"(],"heartbeat_ms":1200,"forward_mode":"echo","bounds":{"drain_ms":)"
      << changes.m_drain_bound_ms << R"(,"config_apply_ms":)"
      << m_profile.m_configuration_bound_ms << R"(,"evacuate_ms":)"
      << m_profile.m_evacuation_bound_ms << R"(,"stable_window_ms":)"
      << m_profile.m_settling_time_ms << R"(,"grace_s":6},)"
      << R"("platform":{"address":")" << ToString(m_network.StoreProxy(index))
      << R"(","forward_mode":"objects"}})";
  std::rename((path + ".new").c_str(), path.c_str());
}

std::string EdgeFleet::SettingsPath(std::uint32_t edge) const {
  return m_directory + "/edge-" + std::to_string(edge) + ".json";
}

std::string EdgeFleet::LogPath(std::uint32_t edge) const {
  return m_directory + "/edge-" + std::to_string(edge) + ".log";
}

// Kills the former process if it still runs after its time to restart.
void EdgeFleet::Start(Edge& edge) {
  edge.m_program.reset();
  edge.m_program = std::make_unique<EdgeChildProcess>(
      m_program_path,
      std::vector<std::string>{"run", "--settings", SettingsPath(edge.m_index)},
      LogPath(edge.m_index));
  edge.m_is_exit_expected = false;
  edge.m_kill_at.reset();
  m_checker->OnEdgeStarted(m_network.Edge(edge.m_index));
}

// Reports each process that exited without a signal from the soak, and restarts
// it.
void EdgeFleet::RestartExited() {
  for (const auto& edge : m_edges) {
    const auto status = edge->m_program->ExitStatus();
    if (edge->m_kill_at) {
      RestartStopped(*edge);
      continue;
    }
    if (edge->m_is_exit_expected || !status)
      continue;
    m_checker->OnUnexpectedExit("edge-" + std::to_string(edge->m_index) +
                                " exited unexpectedly with wait status " +
                                std::to_string(*status));
    Start(*edge);
  }
}

void EdgeFleet::RestartStopped(Edge& edge) {
  const auto status = edge.m_program->ExitStatus();
  if (!status) {
    if (stand_ins::EventLoop::Now() >= *edge.m_kill_at)
      edge.m_program->Signal(SIGKILL);
    return;
  }
  const bool is_clean = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
  const bool is_killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
  if (!is_clean && !is_killed)
    m_checker->OnUnexpectedExit(
        "edge-" + std::to_string(edge.m_index) +
        " was told to stop and ended with wait status " +
        std::to_string(*status));
  Start(edge);
}

void EdgeFleet::Poll() {
  for (const auto& edge : m_edges) {
    http::Request request;
    request.m_endpoint = {m_network.Edge(edge->m_index), kReadinessPort};
    request.m_path = "/-/ready";
    request.m_timeout = kPollTimeout;
    m_client.Send(
        request, [&edge = *edge](const base::Outcome<http::Response>& answer) {
          const bool is_ready = answer && answer.value().m_status == 200;
          edge.m_missed_polls = is_ready ? 0 : edge.m_missed_polls + 1;
        });
  }
}

}  // namespace soak
