#include "soak_harness.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string_view>
#include <utility>

#include "StandIns/udp_port.h"

namespace soak {

namespace {

using std::chrono::milliseconds;

// The platform's documented times for backend servers.
constexpr base::Duration kEntryExpiry = milliseconds(3600);
constexpr base::Duration kAddressReuse = milliseconds(2000);
constexpr base::Duration kDrainTime = milliseconds(6000);
constexpr base::Duration kReregistrationDelay = milliseconds(1500);
// How long the store is away before it comes back from a copy.
constexpr base::Duration kRestoreTime = milliseconds(1500);
// Longer than callers wait before their first two retransmissions, at 200 ms
// and 600 ms.
constexpr base::Duration kSlowServiceTime = milliseconds(700);
constexpr std::uint32_t kProberIndex = 250;
constexpr std::size_t kMinimumRoutes = 2;
constexpr std::uint16_t kFirstIdlePort = 20'000;
constexpr base::Ipv4Address kServiceAddress(0xC6120001);

std::string ServiceAt(std::uint32_t index) {
  return index % 4 == 3 ? "archive" : "portal";
}

}  // namespace

SoakHarness::SoakHarness(const SoakOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_checker(options.m_profile),
      m_store(&m_loop, options.m_network.Store()) {
  m_servers.resize(options.m_servers);
  for (std::uint32_t index = 0; index < options.m_servers; ++index)
    StartServer(index, ServiceAt(index));
  AddRoute();
  AddRoute();
  AddRoute();
  m_fleet = std::make_unique<EdgeFleet>(&m_loop, &m_checker, options.m_network,
                                        options.m_profile, options.m_edges,
                                        options.m_program, options.m_directory);
  m_prober =
      std::make_unique<RouteProber>(&m_loop, &m_checker, m_fleet.get(),
                                    options.m_network.Caller(kProberIndex));
  m_claims = std::make_unique<ClaimChecker>(&m_loop, &m_checker, m_fleet.get(),
                                            options.m_seed);
  m_store.SetChangeHandler([this](const std::string& kind, std::uint64_t era,
                                  std::uint64_t revision) {
    if (kind == "servers")
      m_claims->OnServersChanged(era, revision, stand_ins::EventLoop::Now());
    else if (kind == "config")
      m_claims->OnManifestChanged(m_version, stand_ins::EventLoop::Now());
  });
}

void SoakHarness::Run(base::Duration length) {
  Schedule(length, [this] { m_loop.Stop(); });
  m_loop.Run();
}

void SoakHarness::StartCallers() {
  for (std::uint32_t index = 0; index < m_options.m_callers; ++index)
    m_callers.push_back(std::make_unique<SoakCaller>(
        &m_loop, &m_checker, m_options.m_network.Caller(index), m_random.Next(),
        [this](const flow::FlowKey& flow) { return m_fleet->Route(flow); },
        [this] { return PickRoute(); }));
}

void SoakHarness::DisturbEdge(std::uint32_t edge, base::Duration length) {
  m_checker.DisturbEdge(m_options.m_network.Edge(edge),
                        stand_ins::EventLoop::Now(), length);
}

void SoakHarness::DisturbStore(base::Duration length) {
  m_checker.DisturbStore(stand_ins::EventLoop::Now(), length);
}

void SoakHarness::DrainServer(std::uint32_t index) {
  if (m_servers[index] == nullptr)
    return;
  const std::string name = m_servers[index]->identity().m_name;
  m_store.Put("servers", name, m_servers[index]->NextSpec("draining"));
  m_checker.OnServerDeregistered(name);
  m_checker.OnDrainAcknowledged(name, stand_ins::EventLoop::Now());
  Schedule(kDrainTime, [this, index, name] {
    if (m_servers[index] == nullptr ||
        m_servers[index]->identity().m_name != name)
      return;
    m_checker.DisturbServer(name, stand_ins::EventLoop::Now(), kEntryExpiry);
    m_store.Remove("servers", name);
    m_checker.OnServerDeregistered(name);
    m_servers[index].reset();
    Schedule(kAddressReuse,
             [this, index] { StartServer(index, ServiceAt(index)); });
  });
}

void SoakHarness::CrashServer(std::uint32_t index, AfterCrash kind) {
  if (m_servers[index] == nullptr)
    return;
  const SoakServer::Identity identity = m_servers[index]->identity();
  m_checker.DisturbServer(identity.m_name, stand_ins::EventLoop::Now(),
                          2 * kEntryExpiry);
  m_checker.OnServerDeregistered(identity.m_name);
  m_servers[index].reset();
  if (kind == AfterCrash::kSameName) {
    Schedule(milliseconds(500), [this, index, identity] {
      StartServer(index, identity.m_service, identity.m_name);
    });
    return;
  }
  Schedule(kEntryExpiry,
           [this, name = identity.m_name] { m_store.Remove("servers", name); });
  const std::string other =
      identity.m_service == "portal" ? "archive" : "portal";
  Schedule(kAddressReuse, [this, index, other] { StartServer(index, other); });
}

void SoakHarness::SlowServer(std::uint32_t index, base::Duration length) {
  if (m_servers[index] == nullptr)
    return;
  m_servers[index]->SetExtraServiceTime(kSlowServiceTime);
  Schedule(length, [this, index, name = m_servers[index]->identity().m_name] {
    if (m_servers[index] != nullptr &&
        m_servers[index]->identity().m_name == name)
      m_servers[index]->SetExtraServiceTime({});
  });
}

void SoakHarness::FailStore(StoreFault fault,
                            base::Duration length,
                            bool expires_entries) {
  DisturbStore(length + kReregistrationDelay);
  m_store.SetFault(fault);
  Schedule(length, [this, expires_entries] {
    if (expires_entries) {
      m_checker.OnEntriesLapsed();
      for (const auto& server : m_servers) {
        if (server != nullptr)
          m_store.Remove("servers", server->identity().m_name);
      }
      Schedule(kReregistrationDelay, [this] {
        for (std::uint32_t index = 0; index < m_servers.size(); ++index)
          Register(index);
      });
    }
    m_store.SetFault(StoreFault::kNone);
  });
}

void SoakHarness::RestoreStore(base::Duration age) {
  DisturbStore(kRestoreTime + kEntryExpiry);
  m_store.SetFault(StoreFault::kSilent);
  Schedule(kRestoreTime, [this, age] {
    m_store.Restore(kRestoreTime + age);
    m_claims->OnStoreRestored();
    m_store.SetFault(StoreFault::kNone);
  });
  Schedule(kRestoreTime + kReregistrationDelay, [this] {
    for (std::uint32_t index = 0; index < m_servers.size(); ++index)
      Register(index);
    m_store.Put("config", "main", m_manifest);
    WriteEvacuations();
  });
  Schedule(kRestoreTime + kEntryExpiry, [this] { ExpireEntries(); });
}

void SoakHarness::ExpireEntries() {
  for (const std::string& name : m_store.Names("servers")) {
    const bool is_alive = std::any_of(
        m_servers.begin(), m_servers.end(), [&name](const auto& server) {
          return server != nullptr && server->identity().m_name == name;
        });
    if (!is_alive)
      m_store.Remove("servers", name);
  }
}

void SoakHarness::CompactStore() {
  m_store.Compact();
}

void SoakHarness::Evacuate(std::uint32_t data_centre, base::Duration length) {
  const std::string name =
      fmt::format("hall-{}", data_centre % m_options.m_profile.m_data_centres);
  if (!m_evacuated.insert(name).second)
    return;
  WriteEvacuations();
  m_checker.OnEvacuationStarted(name, stand_ins::EventLoop::Now());
  Schedule(length, [this, name] {
    m_evacuated.erase(name);
    WriteEvacuations();
    m_checker.OnEvacuationEnded(name, stand_ins::EventLoop::Now());
  });
}

void SoakHarness::WriteEvacuations() {
  for (const std::string& name : m_store.Names("evacuations")) {
    if (!m_evacuated.contains(name))
      m_store.Remove("evacuations", name);
  }
  for (const std::string& name : m_evacuated)
    m_store.Put("evacuations", name, "{}");
}

void SoakHarness::PutForeignEntry() {
  constexpr std::size_t kDepth = 400'000;
  constexpr std::size_t kLargeBytes = 900'000;
  constexpr std::string_view kAlphabet("{}[]\",:\\ \n\0\x1f\xff\xc3u0ae-", 19);
  const auto entry = [](const std::string& address, const std::string& rest) {
    return R"({"backend":"portal","address":")" + address +
           R"(","zone":"hall-0","version":"v1",)" + rest + "}";
  };
  const std::string valid =
      R"("max_concurrency":3,"state":"ready","warmup_left_ms":0,"seq":1)";
  const std::string name = fmt::format("x-{}", m_random.Below(100));
  base::Random random(m_random.Next());
  std::string bytes;
  for (std::uint64_t i = random.Below(60); i > 0; --i)
    bytes += kAlphabet[random.Below(kAlphabet.size())];
  const std::vector<std::string> specs = {
      "7",
      R"({"backend":3})",
      entry("127.0.0.1:9", R"("max_concurrency":3,"state":"resting",)"
                           R"("warmup_left_ms":0,"seq":1)"),
      entry("127.0.0.1:9", R"("max_concurrency":3,"state":"ready",)"
                           R"("warmup_left_ms":0)"),
      entry("127.0.0.1:90000", valid),
      entry("127.0.0.1:9", valid + R"(,"note":1e400)"),
      entry("127.0.0.1:9", valid + R"(,"note":"\ud83d")"),
      R"({"address":)" + std::string(kDepth, '[') + std::string(kDepth, ']') +
          "}",
      R"({"note":")" + std::string(kLargeBytes, 'x') + R"("})",
      bytes,
  };
  m_store.Put("servers", name, specs[random.Below(specs.size())]);
}

void SoakHarness::AddRoute() {
  const std::string service = m_routes.size() % 3 == 2 ? "archive" : "portal";
  m_routes.push_back({{kServiceAddress, m_next_port++}, service});
  WriteManifest();
  m_checker.OnRouteAdded(m_routes.back().m_address, service,
                         stand_ins::EventLoop::Now());
  if (m_prober != nullptr)
    m_prober->ProbeAfterBound(m_routes.back().m_address, true);
}

void SoakHarness::DropRoute() {
  if (const auto dropped = RemoveRoute())
    m_prober->ProbeAfterBound(dropped->m_address, false);
}

void SoakHarness::ReturnRoute(base::Duration absence) {
  const auto dropped = RemoveRoute();
  if (!dropped)
    return;
  Schedule(absence, [this, route = *dropped] {
    m_routes.push_back(route);
    WriteManifest();
    m_checker.OnRouteAdded(route.m_address, route.m_service,
                           stand_ins::EventLoop::Now());
    m_prober->ProbeAfterBound(route.m_address, true);
  });
}

void SoakHarness::ChangeTimeout() {
  ++m_route_timeout_ms;
  WriteManifest();
}

std::optional<SoakHarness::LiveRoute> SoakHarness::RemoveRoute() {
  if (m_routes.size() <= kMinimumRoutes)
    return std::nullopt;
  const auto removed =
      m_routes.begin() + static_cast<long>(m_random.Below(m_routes.size()));
  LiveRoute route = *removed;
  m_routes.erase(removed);
  WriteManifest();
  m_checker.OnRouteDropped(route.m_address, stand_ins::EventLoop::Now());
  return route;
}

void SoakHarness::SendGarbage(std::uint32_t edge) {
  auto port = stand_ins::UdpPort::Open(&m_loop.Context(), {});
  if (!port)
    return;
  std::vector<std::uint8_t> bytes(m_random.Below(1400));
  for (std::uint8_t& byte : bytes)
    byte = static_cast<std::uint8_t>(m_random.Next());
  port.value()->Send(bytes, {m_options.m_network.Edge(edge), kPacketPort});
}

void SoakHarness::StartServer(std::uint32_t index,
                              const std::string& service,
                              const std::string& name) {
  if (m_servers[index] != nullptr)
    return;
  SoakServer::Identity identity;
  identity.m_number = m_random.Next() & 0xFFFFFFFFFF;
  identity.m_name = fmt::format("i-{:010x}", identity.m_number);
  if (!name.empty()) {
    identity.m_name = name;
    identity.m_number = std::stoull(name.substr(2), nullptr, 16);
  }
  identity.m_service = service;
  identity.m_endpoint = {m_options.m_network.Server(index), kServerPort};
  identity.m_data_centre =
      fmt::format("hall-{}", index % m_options.m_profile.m_data_centres);
  identity.m_born = static_cast<std::int64_t>(m_random.Below(1U << 30));
  m_servers[index] = std::make_unique<SoakServer>(&m_loop, &m_checker, identity,
                                                  m_random.Next());
  Register(index);
}

void SoakHarness::Register(std::uint32_t index) {
  if (m_servers[index] == nullptr)
    return;
  SoakServer& server = *m_servers[index];
  const SoakServer::Identity& identity = server.identity();
  m_store.Put("servers", identity.m_name, server.NextSpec());
  if (!server.IsDraining())
    m_checker.OnServerRegistered(identity.m_name, identity.m_service,
                                 identity.m_data_centre,
                                 stand_ins::EventLoop::Now());
}

void SoakHarness::WriteManifest() {
  std::vector<LiveRoute> manifest = m_routes;
  for (std::uint32_t i = 0; i < m_options.m_idle_routes; ++i)
    manifest.push_back(
        {{kServiceAddress, static_cast<std::uint16_t>(kFirstIdlePort + i)},
         "portal"});
  std::string routes;
  for (const LiveRoute& route : manifest)
    routes += fmt::format(
        R"({}{{"name":"r-{}","host":"{}","prefix":"/{}/","route_type":"{}",)"
        R"("timeout_ms":{},"target_latency_ms":250,"priority":1,)"
        R"("backend":"{}"}})",
        routes.empty() ? "" : ",", route.m_address.m_port,
        ToString(route.m_address.m_address), route.m_address.m_port,
        route.m_address.m_port % 2 == 0 ? "idempotent" : "non_idempotent",
        m_route_timeout_ms, route.m_service);
  m_version += 1 + m_random.Below(3);
  m_manifest = fmt::format(R"({{"version":{},"routes":[{}],"services":[],)"
                           R"("limits":{{"idle_timeout_ms":15000}}}})",
                           m_version, routes);
  m_store.Put("config", "main", m_manifest);
}

base::Endpoint SoakHarness::PickRoute() {
  return m_routes[m_random.Below(m_routes.size())].m_address;
}

void SoakHarness::Schedule(base::Duration delay, std::function<void()> action) {
  m_loop.Timers().SubscribeOnce(
      stand_ins::EventLoop::Now() + delay,
      [action = std::move(action)](base::TimePoint) { action(); });
}

}  // namespace soak
