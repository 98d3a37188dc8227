// Measures the work of an edge balancer that may grow with the number of
// backend servers or of services. Prints tables in Markdown. The times are
// means of processor time.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <fmt/core.h>

#include "LibBase/time.h"
#include "LibSteering/route_table.h"
#include "LibSteering/steering.h"
#include "processor_time.h"

namespace {

using benchmarks::MeanMicroseconds;
using std::chrono::milliseconds;

constexpr std::size_t kServerCounts[] = {300, 3'000, 75'000};
constexpr std::size_t kDataCentres = 7;
constexpr std::uint16_t kUrgentPort = 443;
constexpr std::uint16_t kOtherPort = 444;
constexpr base::Ipv4Address kServiceAddress(0xC6120001);
constexpr std::uint16_t kAnswerBytes = 1400;
constexpr std::uint16_t kRefusalBytes = 150;

base::TimePoint At(double ms) {
  return base::TimePoint(std::chrono::hours(1)) +
         std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double, std::milli>(ms));
}

base::DataCentreId DataCentre(std::size_t number) {
  return base::DataCentreId("dc-" + std::to_string(number));
}

steering::ServerRecord MakeServer(std::size_t number) {
  steering::ServerRecord record;
  record.m_name = steering::ServerName(fmt::format("i-{:010x}", number * 7919));
  record.m_service = "portal";
  record.m_endpoint = {
      base::Ipv4Address(0x0A000000 + static_cast<std::uint32_t>(number)), 8080};
  record.m_data_centre = DataCentre(number % kDataCentres);
  record.m_slots = 2;
  record.m_incarnation = 1;
  record.m_revision = base::StoreRevision(1);
  return record;
}

steering::Manifest MakeManifest(std::size_t services) {
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(1);
  manifest.m_routes = {{"urgent", {kServiceAddress, kUrgentPort}, {{"portal"}}},
                       {"other", {kServiceAddress, kOtherPort}, {{"portal"}}}};
  std::uint32_t priority = 1;
  for (steering::Route& route : manifest.m_routes) {
    route.m_target_latency = milliseconds(400);
    route.m_priority = priority++;
  }
  for (std::size_t number = 1; number < services; ++number)
    manifest.m_services.emplace_back().m_service = fmt::format("s-{}", number);
  manifest.m_services.emplace_back().m_service = "portal";
  return manifest;
}

// A balancer in the first data centre, and its callers.
class Balancer {
 public:
  Balancer(std::size_t servers, std::size_t services)
      : m_steering({DataCentre(0)}, 1, At(0)) {
    m_steering.ApplyManifest(MakeManifest(services));
    for (std::size_t number = 0; number < servers; ++number)
      m_steering.directory().Apply(MakeServer(number), At(0));
    m_steering.SetServersKnown();
    m_steering.SetRoutesCurrent(true);
    m_steering.SetViewCurrentAsOf(base::TimePoint::max());
  }

  steering::Steering& steering() { return m_steering; }

  steering::CallerPacket Packet(std::uint32_t flow, bool is_opening) const {
    steering::CallerPacket packet;
    packet.m_flow = {
        {base::Ipv4Address(0x64400000 + flow), 1024},
        {kServiceAddress, flow % 2 == 0 ? kOtherPort : kUrgentPort}};
    packet.m_is_opening = is_opening;
    return packet;
  }
  // Nothing if the opening was refused.
  std::optional<steering::FlowToken> Open(std::uint32_t flow, double ms) {
    const auto decision = m_steering.Handle(Packet(flow, true), At(ms));
    const auto* forward = std::get_if<steering::Forward>(&decision.m_action);
    return forward == nullptr ? std::nullopt : std::optional(forward->m_token);
  }
  void Send(std::uint32_t flow,
            steering::FlowToken token,
            std::uint32_t acknowledgement,
            std::uint16_t payload_bytes,
            bool is_end,
            double ms) {
    steering::CallerPacket packet = Packet(flow, false);
    packet.m_token = token;
    packet.m_has_acknowledgement = true;
    packet.m_acknowledgement = acknowledgement;
    packet.m_sequence = payload_bytes > 0 ? 101 : 181;
    packet.m_payload_bytes = payload_bytes;
    packet.m_is_end = is_end;
    m_steering.Handle(packet, At(ms));
  }
  // One request on a flow of its own.
  void Request(double ms, double answer_ms, std::uint16_t bytes) {
    const std::uint32_t flow = m_next_flow++;
    const auto token = Open(flow, ms);
    if (!token)
      return;
    Send(flow, *token, 500, 80, false, ms + 7);
    Send(flow, *token, 500 + bytes, 0, true, ms + 7 + answer_ms);
  }
  bool HasLimit() const {
    return m_steering.admissions()
        .services()
        .at("portal")
        .m_admission.HasLimit();
  }
  // Returns the time at which the service has a limit, after usual answers and
  // then answers as of servers with full queues.
  double Overload() {
    for (int request = 0; request < 200; ++request)
      Request(request * 100.0, 35, kAnswerBytes);
    double ms = 20'000;
    for (; !HasLimit() && ms < 60'000; ms += 10)
      Request(ms, 150, m_next_flow % 3 == 0 ? kRefusalBytes : kAnswerBytes);
    if (!HasLimit())
      fmt::print("the overload led to no limit\n");
    return ms;
  }

 private:
  steering::Steering m_steering;
  std::uint32_t m_next_flow = 100'000;
};

void MeasurePackets() {
  fmt::print(
      "| servers | opening us | request packet us | answer us "
      "| answer during an overload us |\n|---|---|---|---|---|\n");
  for (const std::size_t servers : kServerCounts) {
    const std::size_t calls = servers > 10'000 ? 300 : 5'000;
    Balancer balancer(servers, 2);
    std::vector<steering::FlowToken> tokens(calls);
    const auto flow = [](std::size_t call) {
      return static_cast<std::uint32_t>(call);
    };
    const double opening = MeanMicroseconds(calls, [&](std::size_t call) {
      tokens[call] = balancer.Open(flow(call), 0).value();
    });
    const double request = MeanMicroseconds(calls, [&](std::size_t call) {
      balancer.Send(flow(call), tokens[call], 500, 80, false, 7);
    });
    const double answer = MeanMicroseconds(calls, [&](std::size_t call) {
      balancer.Send(flow(call), tokens[call], 900, 0, true, 40);
    });
    Balancer overloaded(servers, 2);
    for (std::size_t call = 0; call < calls; ++call)
      tokens[call] = overloaded.Open(flow(call), 0).value();
    for (std::size_t call = 0; call < calls; ++call)
      overloaded.Send(flow(call), tokens[call], 500, 80, false, 7);
    const double ms = overloaded.Overload();
    const double late = MeanMicroseconds(calls, [&](std::size_t call) {
      overloaded.Send(flow(call), tokens[call], 900, 0, false, ms + 150);
    });
    fmt::print("| {} | {:.2f} | {:.2f} | {:.2f} | {:.2f}{} |\n", servers,
               opening, request, answer, late,
               overloaded.HasLimit() ? "" : " (no limit)");
  }
}

// Openings to services of which no server may get one.
void MeasureRefusals() {
  fmt::print(
      "\n| servers | opening to draining servers us | to evacuated servers us "
      "| to cold servers us |\n|---|---|---|---|\n");
  for (const std::size_t servers : kServerCounts) {
    constexpr std::size_t kCalls = 50;
    std::uint32_t flow = 0;
    const auto open = [&flow](Balancer& balancer) {
      return MeanMicroseconds(kCalls,
                              [&](std::size_t) { balancer.Open(++flow, 1); });
    };
    Balancer draining(servers, 2);
    for (std::size_t number = 0; number < servers; ++number) {
      steering::ServerRecord record = MakeServer(number);
      record.m_state = steering::ServerState::kDraining;
      draining.steering().directory().Apply(record, At(0));
    }
    Balancer evacuated(servers, 2);
    std::set<base::DataCentreId> all;
    for (std::size_t number = 0; number < kDataCentres; ++number)
      all.insert(DataCentre(number));
    evacuated.steering().SetEvacuated(all, At(0));
    Balancer cold(servers, 2);
    steering::Manifest manifest = MakeManifest(2);
    manifest.m_version = base::ConfigurationVersion(2);
    manifest.m_services.back().m_warm_up = std::chrono::seconds(60);
    manifest.m_services.back().m_warm_up_requests_per_second = 1;
    cold.steering().ApplyManifest(manifest);
    cold.steering().warm_up().SetBalancers(7'500);
    for (std::size_t number = 0; number < servers; ++number)
      cold.steering()
          .directory()
          .FindByName(MakeServer(number).m_name)
          ->m_cold_until = At(60'000);
    fmt::print("| {} | {:.2f} | {:.2f} | {:.2f} |\n", servers, open(draining),
               open(evacuated), open(cold));
  }
}

void MeasureOptions() {
  fmt::print("\n| services | options of a service us |\n|---|---|\n");
  for (const std::size_t services : {2U, 300U, 3'000U}) {
    steering::RouteTable table;
    table.Replace(MakeManifest(services));
    std::size_t found = 0;
    const double time = MeanMicroseconds(100'000, [&](std::size_t) {
      found += table.OptionsOf("portal") != nullptr ? 1 : 0;
    });
    fmt::print("| {} | {:.3f} |{}\n", services, time, found == 0 ? " " : "");
  }
}

// Work that is not done for each packet.
void MeasureDirectory() {
  fmt::print(
      "\n| servers | record updated us | server drained us | evacuation us "
      "| sweep us | ready servers counted us | reachable server us "
      "| data centres counted us | newer records us | load by service us "
      "|\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (const std::size_t servers : kServerCounts) {
    const std::size_t calls = servers > 10'000 ? 50 : 1'000;
    Balancer balancer(servers, 2);
    steering::Steering& steering = balancer.steering();
    steering::ServerDirectory& directory = steering.directory();
    std::uint64_t revision = 1;
    const auto update = [&](std::size_t number, steering::ServerState state) {
      steering::ServerRecord record = MakeServer(number);
      record.m_state = state;
      record.m_revision = base::StoreRevision(++revision);
      directory.Apply(record, At(0));
    };
    const double updated = MeanMicroseconds(calls, [&](std::size_t call) {
      update(call * 13 % servers, steering::ServerState::kReady);
    });
    const double drained = MeanMicroseconds(calls, [&](std::size_t call) {
      update(call * 13 % servers, call % 2 == 0
                                      ? steering::ServerState::kDraining
                                      : steering::ServerState::kReady);
    });
    const double evacuated = MeanMicroseconds(20, [&](std::size_t call) {
      steering.SetEvacuated(call % 2 == 0
                                ? std::set<base::DataCentreId>{DataCentre(1)}
                                : std::set<base::DataCentreId>(),
                            At(0));
    });
    const double sweep =
        MeanMicroseconds(20, [&](std::size_t) { steering.Sweep(At(0)); });
    std::size_t sum = 0;
    const double counted = MeanMicroseconds(
        20, [&](std::size_t) { sum += steering.IsReady() ? 1 : 0; });
    const double reachable = MeanMicroseconds(
        20, [&](std::size_t) { sum += steering.HasReachableServer() ? 1 : 0; });
    const double centres = MeanMicroseconds(
        20, [&](std::size_t) { sum += directory.CountByDataCentre().size(); });
    const double newer = MeanMicroseconds(20, [&](std::size_t) {
      sum += directory.RecordsNewerThan(base::StoreRevision(revision)).size();
    });
    const double load = MeanMicroseconds(20, [&](std::size_t) {
      for (const auto& [service, listed] : directory.ByService())
        for (const steering::KnownServer* server : listed)
          sum += server->m_requests_in_progress;
    });
    fmt::print(
        "| {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} "
        "| {:.1f} | {:.1f} |{}\n",
        servers, updated, drained, evacuated, sweep, counted, reachable,
        centres, newer, load, sum == 0 ? " " : "");
  }
}

}  // namespace

int main() {
  MeasurePackets();
  MeasureRefusals();
  MeasureOptions();
  MeasureDirectory();
  return 0;
}
