#include "scenario.h"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr std::int64_t kReadyLimitMs = 15'000;
constexpr std::int64_t kPollMs = 100;
constexpr std::int64_t kSecondMs = 1000;

std::string RouteJson(const std::string& name,
                      base::Endpoint address,
                      const std::string& kind,
                      const std::string& service) {
  return R"({"name":")" + name + R"(","host":")" + ToString(address.m_address) +
         R"(","prefix":"/)" + std::to_string(address.m_port) +
         R"(/","route_type":")" + kind +
         R"(","timeout_ms":2000,"target_latency_ms":250,"priority":2,)"
         R"("backend":")" +
         service + R"(","attempts":2})";
}

std::string ServiceJson(const std::string& name) {
  return R"({"name":")" + name +
         R"(","health_path":"/health","max_conns":2000,"protocol":"h1",)"
         R"("tls":false})";
}

}  // namespace

Scenario::Scenario(const ScenarioOptions& options,
                   std::uint32_t network,
                   const std::vector<std::string>& zones)
    : m_options(options), m_network{network}, m_record(options.m_record) {
  m_store = std::make_unique<Store>(m_loop, m_network,
                                    static_cast<std::uint32_t>(zones.size()));
  m_platform = std::make_unique<Platform>(m_loop, m_record, m_network, zones,
                                          options.m_program, options.m_folder);
  m_requesters = std::make_unique<Requesters>(
      m_loop, m_record, m_network,
      [this](const flow::FlowKey& flow, const std::string& zone) {
        return m_platform->Route(flow, zone);
      },
      [this](const flow::FlowKey& flow,
             std::optional<base::Ipv4Address> machine,
             bool was_open) { OnReset(flow, machine, was_open); });
}

std::uint32_t Scenario::AddServer(const std::string& service,
                                  const std::string& zone,
                                  std::optional<std::uint32_t> former) {
  const std::uint32_t index = m_next_server++;
  Server::Identity identity;
  constexpr std::uint64_t kFirstNumber = 0x7f3a91c2;
  constexpr std::uint64_t kStep = 0x01010107;
  identity.m_number = (kFirstNumber + index * kStep) & 0xffffffffU;
  std::ostringstream name;
  name << "i-" << std::hex << std::setw(8) << std::setfill('0')
       << identity.m_number;
  identity.m_id = name.str();
  identity.m_service = service;
  identity.m_zone = zone;
  identity.m_endpoint = m_network.Server(former.value_or(index));
  m_servers[index] = std::make_unique<Server>(
      m_loop, m_record, identity,
      Server::Observer{
          [this](const Server& server, const flow::FlowKey& flow,
                 base::Ipv4Address machine) {
            OnOpening(server, flow, machine);
          },
          [this](const Server& server, const std::string& request) {
            OnRun(server, request);
          }});
  m_store->Put("servers", identity.m_id, m_servers[index]->Spec("ready"));
  m_record.Write("ready", identity.m_id + " of " + service);
  return index;
}

void Scenario::Drain(std::uint32_t index, std::int64_t serves_ms) {
  Server& server = *m_servers[index];
  const std::string id = server.identity().m_id;
  server.SetDraining();
  m_store->Put("servers", id, server.Spec("draining"));
  m_draining[id] = Loop::Now();
  m_record.Write("draining", id + " acknowledged by the store");
  m_loop.After(serves_ms, [this, index, id] {
    m_store->Remove("servers", id);
    m_servers.erase(index);
    m_record.Write("left", id);
  });
}

void Scenario::PutManifest(const std::vector<RouteSpec>& routes,
                           std::uint32_t padding) {
  constexpr std::uint32_t kFirstPaddingRoute = 1000;
  const std::uint64_t version = m_next_version++;
  std::string list;
  std::set<base::Endpoint> present;
  for (const RouteSpec& route : routes) {
    const base::Endpoint address = RouteAddress(route.m_index);
    list += (list.empty() ? "" : ",") +
            RouteJson("r-" + std::to_string(route.m_index), address,
                      route.m_kind, route.m_service);
    RouteState& state = m_routes[address];
    state.m_services.insert(route.m_service);
    state.m_dropped_at.reset();
    present.insert(address);
  }
  for (std::uint32_t i = 0; i < padding; ++i)
    list += "," + RouteJson("idle-" + std::to_string(i),
                            RouteAddress(kFirstPaddingRoute + i), "idempotent",
                            kArchive);
  const std::string spec =
      R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list +
      R"(],"services":[)" + ServiceJson(kPortal) + "," + ServiceJson(kArchive) +
      R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  m_store->Put("config", "main", spec);
  m_record.Write("manifest", std::to_string(version) + " acknowledged, " +
                                 std::to_string(spec.size()) + " bytes");
  for (auto& [address, state] : m_routes) {
    if (!present.contains(address) && !state.m_dropped_at)
      state.m_dropped_at = Loop::Now();
  }
}

void Scenario::WaitUntilReady() {
  const std::int64_t limit = Loop::Now() + kReadyLimitMs;
  while (!m_platform->AreAllReady()) {
    if (Loop::Now() > limit)
      throw std::runtime_error("the machines did not become ready");
    RunFor(kPollMs);
  }
}

void Scenario::RunFor(std::int64_t milliseconds) {
  m_loop.RunUntil(Loop::Now() + milliseconds);
}

void Scenario::StartRequests(std::uint32_t route, std::int64_t per_second) {
  m_loop.Every(kSecondMs / per_second, [this, route, turn = 0U]() mutable {
    static const std::vector<std::string> zones = {"hall-1", "hall-2",
                                                   "hall-3"};
    m_requesters->Open(RouteAddress(route), zones[turn++ % zones.size()]);
  });
}

void Scenario::Disturb(std::uint32_t machine, std::int64_t milliseconds) {
  m_out_of_touch_until[m_network.Machine(machine)] =
      Loop::Now() + milliseconds + kStableWindowMs;
}

int Scenario::Finish() {
  std::ostringstream summary;
  summary << "served " << m_requesters->Count(Requesters::End::kServed)
          << ", reset " << m_requesters->Count(Requesters::End::kReset)
          << ", unanswered " << m_requesters->Count(Requesters::End::kTimedOut)
          << ", breaches " << m_record.Breaches();
  m_record.Write("summary", summary.str());
  std::cout << summary.str() << "\n";
  if (m_requesters->Count(Requesters::End::kServed) == 0) {
    std::cout << "no request was served\n";
    return 2;
  }
  return m_record.Breaches() > 0 ? 1 : 0;
}

bool Scenario::IsInTouch(base::Ipv4Address machine, std::int64_t now) const {
  const auto found = m_out_of_touch_until.find(machine);
  return found == m_out_of_touch_until.end() || now >= found->second;
}

void Scenario::OnOpening(const Server& server,
                         const flow::FlowKey& flow,
                         base::Ipv4Address machine) {
  const std::int64_t now = Loop::Now();
  const std::string& id = server.identity().m_id;
  const std::string details = ToString(flow.m_caller) + " to " +
                              ToString(flow.m_service) + " taken by " + id +
                              " through " + ToString(machine);
  m_record.Write("took", details);
  const auto route = m_routes.find(flow.m_service);
  if (route == m_routes.end() ||
      !route->second.m_services.contains(server.identity().m_service)) {
    m_record.WriteBreach("ROUTE", details);
    return;
  }
  if (!IsInTouch(machine, now))
    return;
  const auto sent_at = m_requesters->SentAt(flow);
  const auto dropped_at = route->second.m_dropped_at;
  if (dropped_at && sent_at && *sent_at > *dropped_at + kConfigApplyMs)
    m_record.WriteBreach("CONFIG", details + ", sent " +
                                       std::to_string(*sent_at - *dropped_at) +
                                       " ms after the route was dropped");
  const auto draining = m_draining.find(id);
  if (draining != m_draining.end() && now > draining->second + kDrainMs)
    m_record.WriteBreach(
        "DRAIN", details + ", " + std::to_string(now - draining->second) +
                     " ms after the store acknowledged the drain");
}

void Scenario::OnRun(const Server& server, const std::string& request) {
  if (!m_run.insert(request).second)
    m_record.WriteBreach(
        "Requests", request + " ran twice, now at " + server.identity().m_id);
}

void Scenario::OnReset(const flow::FlowKey& flow,
                       std::optional<base::Ipv4Address> machine,
                       bool was_open) {
  if (!was_open || !machine || !IsInTouch(*machine, Loop::Now()))
    return;
  const auto route = m_routes.find(flow.m_service);
  if (route == m_routes.end() || route->second.m_dropped_at)
    return;
  m_record.WriteBreach("FLOW", "open flow " + ToString(flow.m_caller) + " to " +
                                   ToString(flow.m_service) +
                                   " was reset by the machine " +
                                   ToString(*machine));
}

}  // namespace review
