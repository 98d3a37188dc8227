// Measures the periodic work and the transfers of an edge balancer by the
// number of servers, routes, flows and balancers. Prints tables in Markdown.
// The times are means of processor time.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include <fmt/core.h>

#include "LibBase/time.h"
#include "LibCatalog/snapshot.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibEdge/load_collector.h"
#include "LibLoadExchange/fleet_load.h"
#include "LibLoadExchange/load_aggregator.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/route_table.h"
#include "LibSteering/steering.h"
#include "processor_time.h"

namespace {

using benchmarks::MeanMicroseconds;

constexpr std::size_t kCounts[] = {300, 3'000, 75'000};
constexpr std::size_t kCalls = 5;
constexpr base::Ipv4Address kServiceAddress(0xC6120001);

base::TimePoint At(std::chrono::milliseconds time) {
  return base::TimePoint(std::chrono::hours(1)) + time;
}

catalog::Snapshot MakeSnapshot(std::size_t servers) {
  catalog::Snapshot snapshot;
  for (std::size_t number = 0; number < servers; ++number) {
    steering::ServerRecord& record = snapshot.m_servers.emplace_back();
    record.m_name = steering::ServerName(fmt::format("i-{:010x}", number));
    record.m_service = "portal";
    record.m_data_centre =
        base::DataCentreId("dc-" + std::to_string(number % 7));
    record.m_slots = 2;
    record.m_incarnation = 1;
    record.m_revision = base::StoreRevision(1);
  }
  return snapshot;
}

void MeasureServers() {
  fmt::print(
      "| servers | snapshot encoded us | decoded us | snapshot KB "
      "| first list applied us | load report us "
      "|\n|---|---|---|---|---|---|\n");
  for (const std::size_t servers : kCounts) {
    const catalog::Snapshot snapshot = MakeSnapshot(servers);
    std::string bytes;
    const double encoded = MeanMicroseconds(kCalls, [&](std::size_t) {
      bytes = catalog::EncodeSnapshot(snapshot).value();
    });
    std::size_t sum = 0;
    const double decoded = MeanMicroseconds(kCalls, [&](std::size_t) {
      sum += catalog::DecodeSnapshot(bytes).value().m_servers.size();
    });
    steering::Steering steering({base::DataCentreId("dc-0")}, 1, At({}));
    const double applied = MeanMicroseconds(1, [&](std::size_t) {
      for (const steering::ServerRecord& record : snapshot.m_servers)
        steering.directory().Apply(record, At({}));
    });
    edge::LoadCollector collector(base::DataCentreId("dc-0"), 1);
    const load_exchange::FleetLoad fleet;
    const double reported = MeanMicroseconds(kCalls, [&](std::size_t call) {
      sum += collector
                 .Report(steering, fleet,
                         At(std::chrono::seconds(static_cast<int>(call) + 1)))
                 .m_services.size();
    });
    fmt::print("| {} | {:.0f} | {:.0f} | {} | {:.0f} | {:.1f} |{}\n", servers,
               encoded, decoded, bytes.size() / 1024, applied, reported,
               sum == 0 ? " " : "");
  }
}

void MeasureRoutes() {
  fmt::print("\n| routes | manifest replaced us |\n|---|---|\n");
  for (const std::size_t routes : {300U, 3'000U, 8'900U}) {
    steering::RouteTable table;
    std::uint64_t version = 0;
    steering::Manifest manifest;
    for (std::size_t number = 0; number < routes; ++number) {
      const std::string name = fmt::format("r-{}", number);
      manifest.m_routes.push_back(
          {name,
           {kServiceAddress, static_cast<std::uint16_t>(number)},
           {{name}}});
      manifest.m_services.emplace_back().m_service = name;
    }
    const double replaced = MeanMicroseconds(kCalls, [&](std::size_t) {
      manifest.m_version = base::ConfigurationVersion(++version);
      table.Replace(manifest);
    });
    fmt::print("| {} | {:.0f} |\n", table.size(), replaced);
  }
}

void MeasureFlows() {
  fmt::print("\n| flows | sweep us |\n|---|---|\n");
  for (const std::size_t count : kCounts) {
    steering::ServerDirectory directory;
    directory.Apply(MakeSnapshot(1).m_servers.front(), At({}));
    steering::KnownServer* server = directory.ServersOf("portal").front();
    steering::FlowTracker tracker(directory);
    const std::size_t flows =
        std::min(count, steering::FlowTracker::kMaximumFlows);
    for (std::size_t number = 0; number < flows; ++number)
      tracker.RecordOpening(
          {{base::Ipv4Address(static_cast<std::uint32_t>(number)), 1},
           {kServiceAddress, 443}},
          *server, std::chrono::seconds(2), At({}));
    const double swept = MeanMicroseconds(kCalls, [&](std::size_t) {
      tracker.Sweep(std::chrono::seconds(15), At({}));
    });
    fmt::print("| {} | {:.1f} |\n", tracker.size(), swept);
  }
}

// A reader counts the balancers of its own data centre only.
void MeasureBalancers() {
  fmt::print("\n| balancers | sum of load reports us |\n|---|---|\n");
  for (const std::size_t balancers : {43U, 300U, 1'071U}) {
    load_exchange::LoadAggregator aggregator(1);
    for (std::size_t number = 0; number < balancers; ++number) {
      load_exchange::LoadReport report;
      report.m_sequence = 1;
      report.m_data_centre = 1;
      for (std::uint32_t service = 0; service < 16; ++service)
        report.m_services.push_back({service, 5, 10});
      aggregator.Accept(base::Ipv4Address(static_cast<std::uint32_t>(number)),
                        std::move(report), At({}));
    }
    std::size_t sum = 0;
    const double time = MeanMicroseconds(100, [&](std::size_t) {
      sum += aggregator.Sum(At({})).m_services.size();
    });
    fmt::print("| {} | {:.1f} |{}\n", aggregator.size(), time,
               sum == 0 ? " " : "");
  }
}

}  // namespace

int main() {
  MeasureServers();
  MeasureRoutes();
  MeasureFlows();
  MeasureBalancers();
  return 0;
}
