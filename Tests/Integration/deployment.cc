#include "deployment.h"

#include <signal.h>
#include <stdlib.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <filesystem>
#include <fstream>
#include <utility>

#include "harness_error.h"
#include "programs.h"

namespace integration {

namespace {

constexpr auto kStartDeadline = std::chrono::seconds(10);
constexpr auto kPauseLength = std::chrono::milliseconds(2500);
constexpr auto kStopDeadline = std::chrono::seconds(25);
// More than the receive buffer of a socket holds.
constexpr std::size_t kFillBytes = 4 << 20;
constexpr std::size_t kFillDatagramBytes = 1024;
constexpr int kServerBlock = 16;
constexpr int kCallerBlock = 32;

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "coltsfootdale-XXXXXX")
          .string();
  Require(mkdtemp(pattern.data()) != nullptr,
          "cannot create a directory from the template " + pattern);
  return pattern;
}

// ctest gives each test program network numbers of its own, so that programs
// that run in parallel use different addresses.
int NetworkNumber() {
  const char* number = std::getenv("COLTSFOOTDALE_TEST_NETWORK");
  return number == nullptr ? 0 : std::atoi(number);
}

base::Endpoint Endpoint(const JsonLine& line, const std::string& field) {
  const auto endpoint = base::ParseEndpoint(line.get(field, ""));
  Require(endpoint.has_value(), "no valid endpoint in the field " + field);
  return *endpoint;
}

}  // namespace

Deployment::Deployment(PlatformControl& platform,
                       DocumentModel& document,
                       Options options)
    : m_platform(platform),
      m_document(document),
      m_options(std::move(options)),
      m_platform_endpoint(platform.endpoint()),
      m_folder(MakeFolder()) {
  m_fabric = std::make_unique<ChildProcess>(
      kStandInTraffic,
      std::vector<std::string>{"fabric", "--address", BalancerAddress(),
                               "--seed", std::to_string(m_options.m_seed)});
  const JsonLine line = m_fabric->WaitFor("listening", kStartDeadline);
  m_fabric_callers = line.get("callers", "");
  m_fabric_servers = line.get("servers", "");
  m_fabric_balancers = line.get("balancers", "");
}

Deployment::~Deployment() {
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string Deployment::Address(int block, int number) const {
  return "127." + std::to_string(block) + "." +
         std::to_string(NetworkNumber() + m_options.m_number) + "." +
         std::to_string(number);
}

void Deployment::AddServer(const std::string& service,
                           const std::string& name,
                           const std::vector<std::string>& extra_options) {
  ServiceModel& model = m_document.m_services.at(service);
  ServerModel server;
  server.m_connections = m_options.m_server_connections;
  server.m_slots = m_options.m_server_slots;
  std::vector<std::string> arguments = {
      "server",
      "--address",
      Address(kServerBlock, m_next_server++),
      "--tunnel-port",
      "0",
      "--service",
      service,
      "--service-address",
      base::ToString(model.m_address),
      "--name",
      name,
      "--gateway",
      m_fabric_servers,
      "--slots",
      std::to_string(server.m_slots),
      "--connections",
      std::to_string(server.m_connections),
      "--seed",
      std::to_string(m_options.m_seed + m_next_server)};
  arguments.insert(arguments.end(), extra_options.begin(), extra_options.end());
  auto process = std::make_unique<ChildProcess>(kStandInTraffic, arguments);
  const JsonLine line = process->WaitFor("listening", kStartDeadline);
  server.m_data_centre = m_options.m_data_centre;
  server.m_tunnel = StartProxy(Endpoint(line, "tunnel"));
  server.m_health = Endpoint(line, "health");
  model.m_servers[name] = server;
  m_servers[name] = std::move(process);
}

std::string Deployment::WriteSettings(const std::string& name) {
  std::string path = m_folder + "/" + name + ".yaml";
  const std::string any_port = BalancerAddress() + ":0";
  const JsonLine& former = m_former_endpoints[name];
  std::ofstream file(path);
  file << "data_centre: " << m_options.m_data_centre << "\nname: " << name
       << "\ntraffic: " << former.get("traffic", any_port)
       << "\npeer: " << former.get("peer", any_port)
       << "\nadmin: " << former.get("admin", any_port)
       << "\ngateway: " << m_fabric_balancers
       << "\nplatform: " << base::ToString(m_platform_endpoint)
       << "\noperator_token: integration-test-token\n"
       << m_options.m_settings;
  if (const auto proxies = m_peer_proxies.find(name);
      proxies != m_peer_proxies.end())
    file << "advertise: {traffic: " << proxies->second->traffic()
         << ", peer: " << proxies->second->peer() << "}\n";
  return path;
}

void Deployment::StartBalancer(const std::string& name) {
  if (m_options.m_has_peer_proxies && !m_peer_proxies.contains(name))
    m_peer_proxies[name] = std::make_unique<PeerProxies>(
        BalancerAddress(), m_options.m_seed + 3 * m_peer_proxies.size());
  m_balancers[name] = std::make_unique<ChildProcess>(
      kColtsfootdale,
      std::vector<std::string>{"balancer", "--settings", WriteSettings(name)});
}

void Deployment::AnnounceBalancer(const std::string& name) {
  const JsonLine line = Balancer(name).WaitFor("listening", kStartDeadline);
  std::string traffic = line.get("traffic", "");
  std::string peer = line.get("peer", "");
  if (const auto proxies = m_peer_proxies.find(name);
      proxies != m_peer_proxies.end()) {
    proxies->second->SetTargets(traffic, peer);
    traffic = proxies->second->traffic();
    peer = proxies->second->peer();
  }
  m_platform.Post("vm?name=" + name +
                  "&data_centre=" + m_options.m_data_centre +
                  "&state=live&traffic=" + traffic + "&peer=" + peer +
                  "&admin=" + line.get("admin", "127.0.0.1:1"));
}

void Deployment::AwaitReady(const std::string& name) {
  ChildProcess& balancer = Balancer(name);
  const JsonLine line = balancer.WaitFor("listening", kStartDeadline);
  balancer.WaitFor("ready", kStartDeadline);
  const base::Endpoint traffic = StartProxy(Endpoint(line, "traffic"));
  std::string command = "balancer " + name + " " + base::ToString(traffic);
  if (m_options.m_fabric_polls_readiness)
    command += " " + line.get("admin", "");
  m_fabric->SendAndWait(command, "done");
}

base::Endpoint Deployment::StartProxy(base::Endpoint target) {
  if (!m_options.m_has_fault_proxies)
    return target;
  auto process = std::make_unique<ChildProcess>(
      kStandInTraffic,
      std::vector<std::string>{
          "proxy", "--listen", base::ToString({target.m_address, 0}),
          "--target", base::ToString(target), "--protocol", "udp", "--seed",
          std::to_string(m_options.m_seed + m_proxies.size())});
  const JsonLine line = process->WaitFor("listening", kStartDeadline);
  m_proxies.push_back(std::move(process));
  return Endpoint(line, "listen");
}

void Deployment::SetFault(const std::string& command) {
  Require(!m_proxies.empty(),
          "cannot set a fault: the deployment has no fault proxies");
  for (const auto& proxy : m_proxies)
    proxy->SendAndWait(command, "done");
}

void Deployment::SetPeerFault(const std::string& command) {
  Require(!m_peer_proxies.empty(),
          "cannot set a peer fault: the deployment has no peer proxies");
  for (const auto& [name, proxies] : m_peer_proxies)
    proxies->SetFault(command);
}

void Deployment::CutFrom(Deployment& other) {
  SetPeerFault("exclude " + other.BalancerAddress());
  other.SetPeerFault("exclude " + BalancerAddress());
}

void Deployment::HealFrom(Deployment& other) {
  SetPeerFault("admit " + other.BalancerAddress());
  other.SetPeerFault("admit " + BalancerAddress());
}

void Deployment::AddBalancer(const std::string& name) {
  StartBalancer(name);
  AnnounceBalancer(name);
  AwaitReady(name);
}

void Deployment::KillBalancer(const std::string& name) {
  auto node = m_balancers.extract(name);
  m_former_endpoints[name] =
      node.mapped()->WaitFor("listening", kStartDeadline);
  node.mapped()->Signal(SIGKILL);
  node.mapped()->WaitForExit(kStartDeadline);
  m_former_balancers.push_back(std::move(node.mapped()));
  // The fabric sends to the dead balancer for as long as a health check takes.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  m_fabric->SendAndWait("remove " + name, "done");
}

void Deployment::RestartBalancer(const std::string& name) {
  StartBalancer(name);
  AwaitReady(name);
}

void Deployment::FreezeBalancer(const std::string& name) {
  Balancer(name).Signal(SIGSTOP);
  m_frozen.insert(name);
}

void Deployment::FillPeerSocket(const std::string& name) {
  const JsonLine line = Balancer(name).WaitFor("listening", kStartDeadline);
  const base::Endpoint peer = Endpoint(line, "peer");
  const asio::ip::udp::endpoint target(
      asio::ip::address_v4(peer.m_address.value()), peer.m_port);
  asio::io_context context;
  asio::ip::udp::socket socket(context, asio::ip::udp::v4());
  const std::string datagram(kFillDatagramBytes, 'x');
  for (std::size_t sent = 0; sent < kFillBytes; sent += datagram.size())
    socket.send_to(asio::buffer(datagram), target);
}

void Deployment::ThawBalancer(const std::string& name) {
  Balancer(name).Signal(SIGCONT);
  m_frozen.erase(name);
}

int Deployment::StopBalancer(const std::string& name) {
  auto node = m_balancers.extract(name);
  node.mapped()->Signal(SIGTERM);
  node.mapped()->WaitFor("shutdown_started", kStartDeadline);
  m_fabric->SendAndWait("remove " + name, "done");
  const int code = node.mapped()->WaitForExit(kStopDeadline);
  m_former_balancers.push_back(std::move(node.mapped()));
  return code;
}

bool Deployment::StopBalancers(const std::vector<std::string>& names,
                               const std::function<void()>& meanwhile) {
  std::vector<std::unique_ptr<ChildProcess>> leaving;
  for (const std::string& name : names) {
    leaving.push_back(std::move(m_balancers.extract(name).mapped()));
    leaving.back()->Signal(SIGTERM);
  }
  for (std::size_t i = 0; i < names.size(); ++i) {
    leaving[i]->WaitFor("shutdown_started", kStartDeadline);
    m_fabric->SendAndWait("remove " + names[i], "done");
  }
  if (meanwhile)
    meanwhile();
  bool are_exits_clean = true;
  for (auto& process : leaving) {
    const int code = process->WaitForExit(kStopDeadline);
    are_exits_clean = are_exits_clean && code == 0;
    m_former_balancers.push_back(std::move(process));
  }
  return are_exits_clean;
}

void Deployment::PauseBalancer(const std::string& name) {
  ChildProcess& paused = Balancer(name);
  std::map<std::string, std::size_t> lines_before;
  for (const auto& [other, process] : m_balancers)
    lines_before[other] = process->LineCount();
  paused.Signal(SIGSTOP);
  for (const auto& [other, process] : m_balancers) {
    if (other == name)
      continue;
    process->WaitForLater(
        lines_before[other], "peer_left", kStartDeadline,
        [&name](const JsonLine& line) { return line.get("peer", "") == name; });
  }
  // The pause is the fault under test, so its length is fixed: longer than the
  // lease, and than the time after which a balancer reports its own pause.
  std::this_thread::sleep_for(kPauseLength);
  paused.Signal(SIGCONT);
  paused.WaitForLater(lines_before[name], "pause_detected", kStartDeadline);
}

std::unique_ptr<ChildProcess> Deployment::StartCaller(
    const std::string& service,
    const CallerOptions& options) {
  const int number = m_next_caller++;
  std::vector<std::string> arguments = {
      "caller",
      "--address",
      Address(kCallerBlock, number),
      "--fabric",
      m_fabric_callers,
      "--service-address",
      base::ToString(m_document.m_services.at(service).m_address),
      "--seed",
      std::to_string(m_options.m_seed * 1000 + static_cast<unsigned>(number)),
      "--openings-per-second",
      std::to_string(options.m_openings_per_second),
      "--duration-ms",
      std::to_string(options.m_duration.count()),
      "--kind",
      options.m_kind,
      "--service-time-ms",
      std::to_string(options.m_service_time_ms),
      "--answer-bytes",
      std::to_string(options.m_answer_bytes)};
  arguments.insert(arguments.end(), options.m_extra_options.begin(),
                   options.m_extra_options.end());
  return std::make_unique<ChildProcess>(kStandInTraffic, arguments);
}

std::vector<std::string> Deployment::BalancerNames() const {
  std::vector<std::string> names;
  for (const auto& [name, process] : m_balancers)
    names.push_back(name);
  return names;
}

std::chrono::milliseconds Deployment::AwaitInForce(
    std::uint64_t version,
    std::chrono::milliseconds deadline) {
  const auto start = std::chrono::steady_clock::now();
  const auto end = start + deadline;
  for (const auto& [name, process] : m_balancers) {
    if (m_frozen.contains(name))
      continue;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    process->WaitFor("configuration_in_force",
                     std::max(left, std::chrono::milliseconds(0)),
                     [version](const JsonLine& line) {
                       return line.get("version", std::uint64_t{0}) >= version;
                     });
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
}

bool Deployment::AreVersionsMonotonic() const {
  const auto is_monotonic = [](const ChildProcess& process) {
    std::uint64_t last = 0;
    for (const JsonLine& line : process.Lines("configuration_in_force")) {
      const auto version = line.get("version", std::uint64_t{0});
      if (version <= last)
        return false;
      last = version;
    }
    return true;
  };
  bool are_monotonic = true;
  for (const auto& [name, process] : m_balancers)
    are_monotonic = are_monotonic && is_monotonic(*process);
  for (const auto& process : m_former_balancers)
    are_monotonic = are_monotonic && is_monotonic(*process);
  return are_monotonic;
}

std::uint64_t Deployment::SumOverServers(const std::string& counter) {
  std::uint64_t sum = 0;
  for (const auto& [name, process] : m_servers)
    sum += process->SendAndWait("report", "report").get<std::uint64_t>(counter);
  return sum;
}

std::map<std::string, int> Deployment::Executions() {
  std::map<std::string, int> executions;
  for (const auto& [name, process] : m_servers) {
    const JsonLine line = process->SendAndWait("executions", "executions");
    for (const auto& [key, id] : line.get_child("ids"))
      ++executions[id.data()];
  }
  return executions;
}

std::uint64_t Deployment::CountExecutedTwice() {
  std::uint64_t twice = 0;
  for (const auto& [id, count] : Executions())
    twice += count > 1 ? 1 : 0;
  return twice;
}

}  // namespace integration
