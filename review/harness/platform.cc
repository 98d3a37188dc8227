#include "platform.h"

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <set>
#include <utility>

#include "sockets.h"

namespace review {

namespace {

constexpr std::int64_t kReadinessPeriodMs = 500;
constexpr std::int64_t kReadinessLimitMs = 450;
constexpr int kMissesToLeave = 2;
constexpr std::int64_t kProcessCheckMs = 20;
// "A process that exits or is killed is restarted after a short delay."
constexpr std::int64_t kRestartDelayMs = 500;
// `grace_s` of the settings.
constexpr std::int64_t kGraceMs = 6000;

// "The control addresses of at most three machines."
constexpr std::uint32_t kSeeds = 3;

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

}  // namespace

Platform::Platform(Loop& loop,
                   Record& record,
                   const Network& network,
                   std::vector<std::string> zones,
                   std::string program,
                   std::string folder)
    : m_loop(loop),
      m_record(record),
      m_network(network),
      m_program(std::move(program)),
      m_folder(std::move(folder)),
      m_machines(zones.size()) {
  for (std::uint32_t i = 0; i < zones.size(); ++i)
    m_machines[i].m_zone = zones[i];
  for (std::uint32_t i = 0; i < m_machines.size(); ++i) {
    WriteSettings(i, true);
    Start(i);
    // Later starts are not the first one of the whole system.
    m_loop.After(kReadinessPeriodMs * 4,
                 [this, i] { WriteSettings(i, false); });
    m_loop.Every(kReadinessPeriodMs, [this, i] { CheckReadiness(i); });
  }
  m_loop.Every(kProcessCheckMs, [this] { CheckProcesses(); });
}

bool Platform::AreAllReady() const {
  return std::all_of(
      m_machines.begin(), m_machines.end(),
      [](const Machine& machine) { return machine.m_missed == 0; });
}

bool Platform::IsInRotation(const Machine& machine) const {
  return machine.m_missed < kMissesToLeave;
}

std::optional<base::Endpoint> Platform::Route(const flow::FlowKey& flow,
                                              const std::string& zone) const {
  std::vector<std::uint32_t> all;
  std::vector<std::uint32_t> in_rotation;
  std::vector<std::uint32_t> elsewhere;
  for (std::uint32_t i = 0; i < m_machines.size(); ++i) {
    const bool is_near = m_machines[i].m_zone == zone;
    if (is_near)
      all.push_back(i);
    if (IsInRotation(m_machines[i]))
      (is_near ? in_rotation : elsewhere).push_back(i);
  }
  const auto* chosen = &in_rotation;
  if (in_rotation.empty())
    chosen = &elsewhere;
  else if (in_rotation.size() * 2 < all.size())
    chosen = &all;
  if (chosen->empty())
    return std::nullopt;
  const auto index = base::MixBits(flow::HashFlow(flow)) % chosen->size();
  return base::Endpoint{m_network.Machine((*chosen)[index]), kPacketPort};
}

void Platform::Restart(std::uint32_t index) {
  Machine& machine = m_machines[index];
  if (machine.m_is_end_expected || machine.m_start_at)
    return;
  machine.m_is_end_expected = true;
  m_record.Write("sigterm", "machine " + std::to_string(index));
  machine.m_process->Signal(SIGTERM);
  m_loop.After(kGraceMs, [this, index] {
    if (m_machines[index].m_is_end_expected)
      m_machines[index].m_process->Signal(SIGKILL);
  });
}

std::string Platform::SettingsPath(std::uint32_t machine) const {
  return m_folder + "/machine-" + std::to_string(machine) + ".json";
}

void Platform::WriteSettings(std::uint32_t machine, bool is_first_start) const {
  const std::string ip = ToString(m_network.Machine(machine));
  const auto at = [&ip](std::uint16_t port) {
    return Quote(ip + ":" + std::to_string(port));
  };
  std::string zones;
  std::string seeds;
  std::set<std::string> seen;
  for (std::uint32_t i = 0; i < m_machines.size(); ++i) {
    if (seen.insert(m_machines[i].m_zone).second)
      zones += (zones.empty() ? "" : ",") + Quote(m_machines[i].m_zone) +
               R"(:"sverige-mitt")";
    if (i < kSeeds)
      seeds +=
          (seeds.empty() ? "" : ",") +
          Quote(ToString(base::Endpoint{m_network.Machine(i), kControlPort}));
  }
  const std::string path = SettingsPath(machine);
  std::ofstream(path + ".new")
      << R"({"node_name":"front-)" << machine << R"(","role":"edge",)"
      << R"("machine_class":"front","serves":["front","control"],"ip":)"
      << Quote(ip) << R"(,"zone":)" << Quote(m_machines[machine].m_zone)
      << R"(,"region":"sverige-mitt","zones":{)" << zones
      << R"(},"listen":{"datagram_addr":)" << at(kPacketPort)
      << R"(,"ready_addr":)" << at(kReadinessPort) << R"(,"control":)"
      << at(kControlPort) << R"(},"internal_ports":[7720,7735],"seeds":[)"
      << seeds << R"(],"bootstrap":)" << (is_first_start ? "true" : "false")
      << R"(,"counts_for_tolerance":false,"limits":{"cpu_share":0.055,)"
      << R"("cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,)"
      << R"("disk_mb":0},"data_dir":null,"discovery":"platform",)"
      << R"("entry":"announce","heartbeat_ms":1200,"fault_tolerance":)"
      << R"({"machines":2,"zones":1,"regions":0},"bounds":{"seed_lag_s":3,)"
      << R"("addr_reuse_s":2,"stable_window_ms":4000,"ack_ms":5000,)"
      << R"("catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,)"
      << R"("config_apply_ms":3000,"rollback_slack_ms":250,)"
      << R"("max_skew_ms":12000,"recovery_s":12,"reorder_ms":2000,)"
      << R"("max_flow_s":60},"flow_hash":"mod","forward_mode":"echo",)"
      << R"("platform":{"address":)"
      << Quote(ToString(m_network.StoreFor(machine)))
      << R"(,"forward_mode":"objects","writes_per_s":400,"reads_per_s":2000,)"
      << R"("history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}})";
  std::rename((path + ".new").c_str(), path.c_str());
}

void Platform::Start(std::uint32_t index) {
  Machine& machine = m_machines[index];
  setenv("COLTSFOOTDALE_CONFIG", SettingsPath(index).c_str(), 1);
  machine.m_process = std::make_unique<soak::EdgeChildProcess>(
      m_program, std::vector<std::string>{"run", "--metrics-port", "7990"},
      m_folder + "/machine-" + std::to_string(index) + ".log");
  machine.m_is_end_expected = false;
  machine.m_start_at.reset();
  m_record.Write("start", "machine " + std::to_string(index));
}

void Platform::CheckProcesses() {
  for (std::uint32_t i = 0; i < m_machines.size(); ++i) {
    Machine& machine = m_machines[i];
    if (machine.m_start_at) {
      if (Loop::Now() >= *machine.m_start_at)
        Start(i);
      continue;
    }
    const auto status = machine.m_process->ExitStatus();
    if (!status)
      continue;
    if (!machine.m_is_end_expected) {
      ++machine.m_own_ends;
      m_record.Write("own-end", "machine " + std::to_string(i) +
                                    " ended by itself with wait status " +
                                    std::to_string(*status));
    }
    machine.m_is_end_expected = false;
    machine.m_start_at = Loop::Now() + kRestartDelayMs;
  }
}

void Platform::CheckReadiness(std::uint32_t index) {
  struct Check {
    int m_socket = -1;
    bool m_is_done = false;
  };
  const auto check = std::make_shared<Check>();
  const auto finish = [this, index, check](bool is_ready) {
    if (check->m_is_done)
      return;
    check->m_is_done = true;
    if (check->m_socket >= 0) {
      m_loop.Remove(check->m_socket);
      close(check->m_socket);
    }
    Machine& machine = m_machines[index];
    const bool was_in_rotation = IsInRotation(machine);
    machine.m_missed = is_ready ? 0 : machine.m_missed + 1;
    if (IsInRotation(machine) != was_in_rotation)
      m_record.Write("rotation", "machine " + std::to_string(index) +
                                     (was_in_rotation ? " left" : " joined"));
  };
  check->m_socket = StartConnecting({m_network.Machine(index), kReadinessPort});
  if (check->m_socket < 0) {
    finish(false);
    return;
  }
  Loop::Socket& socket = m_loop.Add(check->m_socket, [check, finish] {
    std::array<char, 1024> buffer{};
    const auto bytes = read(check->m_socket, buffer.data(), buffer.size() - 1);
    finish(bytes > 0 && std::strncmp(buffer.data(), "HTTP/1.1 200", 12) == 0);
  });
  socket.m_writes = true;
  socket.m_on_writable = [&socket, check] {
    const std::string request =
        "GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";
    socket.m_writes = false;
    send(check->m_socket, request.data(), request.size(), MSG_NOSIGNAL);
  };
  m_loop.After(kReadinessLimitMs, [finish] { finish(false); });
}

}  // namespace review
