// Measures packet decisions, the flow table, the routing table, service
// dispatchers, and how many flows break on topology changes. Prints one table
// in Markdown.

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/core.h>

#include "LibBalancer/service_dispatcher.h"
#include "LibBase/hash.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibBase/verify.h"
#include "LibFlow/balancer_set.h"
#include "LibFlow/flow_director.h"
#include "LibFlow/flow_table.h"
#include "LibFlow/routing_table.h"
#include "broken_flows.h"

namespace {

using namespace std::chrono_literals;

constexpr base::TimePoint kNow{1h};
constexpr std::size_t kFlows = 100'000;
constexpr std::size_t kRounds = 5;
constexpr std::size_t kBalancers = 6;
constexpr std::size_t kServers = 15;
constexpr base::Endpoint kService{base::Ipv4Address(0x7f300001), 443};
constexpr std::uint16_t kTunnelPort = 5555;

void PrintRow(std::string_view label, const std::string& value) {
  fmt::print("| {} | {} |\n", label, value);
  std::fflush(stdout);
}

// Returns the nanoseconds per call: the median over kRounds passes of `count`
// calls each.
double MedianNanoseconds(std::size_t count,
                         const std::function<void(std::size_t)>& action) {
  std::array<double, kRounds> rounds{};
  for (double& round : rounds) {
    const auto start = base::Clock::now();
    for (std::size_t call = 0; call < count; ++call)
      action(call);
    const std::chrono::duration<double, std::nano> time =
        base::Clock::now() - start;
    round = time.count() / static_cast<double>(count);
  }
  std::ranges::sort(rounds);
  return rounds[kRounds / 2];
}

// Returns the nanoseconds of sending a datagram over loopback and receiving it
// on the same socket.
double MeasureDatagram() {
  constexpr std::size_t kDatagrams = 50'000;
  const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  VERIFY(socket >= 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  VERIFY(::bind(socket, generic, size) == 0);
  VERIFY(::getsockname(socket, generic, &size) == 0);
  VERIFY(::connect(socket, generic, size) == 0);
  std::array<std::uint8_t, 100> bytes{};
  const double time = MedianNanoseconds(kDatagrams, [&](std::size_t) {
    VERIFY(::send(socket, bytes.data(), bytes.size(), 0) > 0);
    VERIFY(::recv(socket, bytes.data(), bytes.size(), 0) > 0);
  });
  ::close(socket);
  return time;
}

flow::FlowKey MakeFlowKey(std::uint32_t number) {
  const auto port = static_cast<std::uint16_t>(number);
  return {{base::Ipv4Address(0x7f200000 + (number >> 16)), port}, kService};
}

std::vector<flow::ServiceDefinition> MakeServices(std::size_t services,
                                                  std::size_t servers) {
  std::vector<flow::ServiceDefinition> definitions(services);
  for (std::size_t number = 0; number < services; ++number) {
    definitions[number].m_id = base::ServiceId(number + 1);
    definitions[number].m_address = {
        base::Ipv4Address(static_cast<std::uint32_t>(0x7f300001 + number)),
        443};
  }
  for (std::size_t number = 0; number < servers; ++number) {
    const auto address = static_cast<std::uint32_t>(0x7f400000 + number);
    definitions[number % services].m_servers.push_back(
        {base::BackendServerId(base::MixBits(number + 1)),
         {base::Ipv4Address(address), kTunnelPort}});
  }
  return definitions;
}

std::shared_ptr<const flow::RoutingTable> BuildTable(
    const std::vector<flow::ServiceDefinition>& services,
    const flow::RoutingTable* previous) {
  return flow::RoutingTable::Build(base::ConfigurationVersion(1), services,
                                   previous, kNow, 3s);
}

std::shared_ptr<const flow::BalancerSet> MakeBalancers(std::size_t count) {
  std::vector<flow::Balancer> balancers;
  for (std::uint32_t number = 1; number <= count; ++number)
    balancers.push_back({base::BalancerId(base::MixBits(number)),
                         {base::Ipv4Address(0x7f000100 + number), 1}});
  return std::make_shared<flow::BalancerSet>(balancers.front().m_id, balancers);
}

// A FlowDirector that is one of several balancers.
class FlowDirectorFixture {
 public:
  explicit FlowDirectorFixture(const flow::FlowSettings& settings,
                               std::size_t balancers = kBalancers)
      : m_balancers(MakeBalancers(balancers)),
        m_director(
            settings,
            [](const auto&,
               const flow::ServerOrder& order,
               flow::OpeningProgress) {
              return order[order.size() > 1 ? 1 : 0];
            },
            kNow) {
    m_director.SetRouting(BuildTable(MakeServices(1, kServers), nullptr));
    m_director.SetBalancers(m_balancers);
    m_director.SetLease(base::TimePoint::max());
  }

  // Returns the next `count` unused keys of flows whose home is this balancer,
  // or is another balancer if `is_home` is false.
  std::vector<flow::FlowKey> Keys(std::size_t count, bool is_home) {
    std::vector<flow::FlowKey> keys;
    for (; keys.size() < count; ++m_next) {
      const flow::FlowKey key = MakeFlowKey(m_next);
      if (m_balancers->IsHome(flow::HashFlow(key)) == is_home)
        keys.push_back(key);
    }
    return keys;
  }

  base::Ipv4Address Open(const flow::FlowKey& key) {
    const auto effects =
        HandleFromCaller(key, flow::CallerPacketKind::kOpening);
    const auto* forward = std::get_if<flow::ForwardToServer>(&effects[0]);
    VERIFY(forward != nullptr);
    const base::Ipv4Address server = forward->m_tunnel.m_address;
    HandleFromServer(key, flow::ServerPacketKind::kAccepted, server);
    return server;
  }

  flow::Effects HandleFromCaller(
      const flow::FlowKey& key,
      flow::CallerPacketKind kind,
      flow::RelayPurpose purpose = flow::RelayPurpose::kNone) {
    return m_director.HandleCallerPacket({key, kind, 1, {purpose, 0, {}}, {}},
                                         kNow);
  }

  flow::Effects HandleFromServer(const flow::FlowKey& key,
                                 flow::ServerPacketKind kind,
                                 base::Ipv4Address server) {
    return m_director.HandleServerPacket({key, kind, 1, server, {}, true},
                                         kNow);
  }

 private:
  std::shared_ptr<const flow::BalancerSet> m_balancers;
  flow::FlowDirector m_director;
  std::uint32_t m_next = 1;
};

template <typename Expected>
void VerifyFirstEffect(const flow::Effects& effects) {
  VERIFY(!effects.empty() && std::holds_alternative<Expected>(effects[0]));
}

void PrintDecision(std::string_view label, double time, double datagram) {
  PrintRow(label, fmt::format("{:.0f} ns, {:.3f} of a datagram", time,
                              time / datagram));
}

void MeasureDecisions() {
  const double datagram = MeasureDatagram();
  PrintRow("UDP datagram sent and received on loopback",
           fmt::format("{:.0f} ns", datagram));
  const auto data = flow::CallerPacketKind::kData;
  flow::FlowSettings settings;
  settings.m_searches_per_second = 1e12;
  settings.m_maximum_probes = kFlows;
  FlowDirectorFixture fixture(settings);
  const auto known = fixture.Keys(kFlows, true);
  std::vector<base::Ipv4Address> servers;
  servers.reserve(known.size());
  for (const flow::FlowKey& key : known)
    servers.push_back(fixture.Open(key));
  const auto measure_all = [&](const std::vector<flow::FlowKey>& keys,
                               const auto& action) {
    // A stride that is coprime to the number of keys avoids cache hits.
    return MedianNanoseconds(keys.size(), [&](std::size_t call) {
      action(call * 7919 % keys.size());
    });
  };
  PrintDecision("known flow, from the caller",
                measure_all(known,
                            [&](auto index) {
                              VerifyFirstEffect<flow::ForwardToServer>(
                                  fixture.HandleFromCaller(known[index], data));
                            }),
                datagram);
  PrintDecision(
      "known flow, from the server",
      measure_all(
          known,
          [&](auto index) {
            VerifyFirstEffect<flow::DeliverToCaller>(fixture.HandleFromServer(
                known[index], flow::ServerPacketKind::kData, servers[index]));
          }),
      datagram);
  const auto remote = fixture.Keys(kFlows, false);
  PrintDecision(
      "flow with another home, relayed",
      measure_all(remote,
                  [&](auto index) {
                    VerifyFirstEffect<flow::RelayToBalancer>(
                        fixture.HandleFromCaller(remote[index], data));
                  }),
      datagram);
  const auto unknown = fixture.Keys(kFlows, true);
  PrintDecision(
      "unknown flow at its home, search started",
      measure_all(unknown,
                  [&](auto index) {
                    VerifyFirstEffect<flow::RelayToBalancer>(
                        fixture.HandleFromCaller(unknown[index], data));
                  }),
      datagram);

  settings.m_mechanisms.m_probe = false;
  settings.m_mechanisms.m_relay_to_home = false;
  FlowDirectorFixture stateless(settings);
  const auto preferred = stateless.Keys(kFlows, true);
  PrintDecision(
      "unknown flow, forwarded to its preferred server",
      measure_all(preferred,
                  [&](auto index) {
                    VerifyFirstEffect<flow::ForwardToServer>(
                        stateless.HandleFromCaller(preferred[index], data));
                  }),
      datagram);
}

// Runs a single pass, because each measured packet is the first of its flow.
void MeasureFirstPackets() {
  flow::FlowSettings settings;
  settings.m_maximum_probes = kFlows;
  FlowDirectorFixture fixture(settings);
  for (const flow::FlowKey& key : fixture.Keys(kFlows, true))
    fixture.Open(key);
  const auto measure_once = [](const std::vector<flow::FlowKey>& keys,
                               const auto& action) {
    const auto start = base::Clock::now();
    for (const flow::FlowKey& key : keys)
      action(key);
    const std::chrono::duration<double, std::nano> time =
        base::Clock::now() - start;
    return time.count() / static_cast<double>(keys.size());
  };
  constexpr std::size_t kFirstPackets = 10'000;
  const double datagram = MeasureDatagram();
  PrintDecision("opening at its home, including its acceptance",
                measure_once(fixture.Keys(kFirstPackets, true),
                             [&](const auto& key) { fixture.Open(key); }),
                datagram);
  PrintDecision("flow unknown to every balancer, probed",
                measure_once(fixture.Keys(kFirstPackets, true),
                             [&](const auto& key) {
                               VerifyFirstEffect<flow::ForwardToServer>(
                                   fixture.HandleFromCaller(
                                       key, flow::CallerPacketKind::kData,
                                       flow::RelayPurpose::kNotFound));
                             }),
                datagram);
}

void MeasureStoredFlow() {
  constexpr std::size_t kTableBytes = std::size_t{48} << 20;
  flow::FlowTable table(kNow, kTableBytes);
  const auto bytes_per_flow = [&table] {
    return static_cast<double>(table.allocated_bytes()) /
           static_cast<double>(table.size());
  };
  double least = std::numeric_limits<double>::max();
  double greatest = 0;
  std::size_t range_start = kFlows;
  double longest = 0;
  for (std::uint32_t number = 0; table.evictions() == 0; ++number) {
    const flow::FlowKey key = MakeFlowKey(number);
    const auto start = base::Clock::now();
    table.Insert(key, flow::HashFlow(key), kNow, [](const auto&) {});
    const std::chrono::duration<double, std::micro> time =
        base::Clock::now() - start;
    longest = std::max(longest, time.count());
    if (table.size() < kFlows)
      continue;
    least = std::min(least, bytes_per_flow());
    greatest = std::max(greatest, bytes_per_flow());
    if (table.size() != 2 * range_start)
      continue;
    PrintRow(fmt::format("bytes per flow, {} to {} flows", range_start,
                         2 * range_start),
             fmt::format("{:.1f} to {:.1f}", least, greatest));
    range_start *= 2;
    least = greatest = bytes_per_flow();
  }
  PrintRow(fmt::format("bytes per flow at the limit of 48 MiB, {} flows",
                       table.size()),
           fmt::format("{:.1f}", bytes_per_flow()));
  PrintRow("longest insertion, including table growth",
           fmt::format("{:.0f} us", longest));
}

struct Sample {
  double m_size;
  double m_value;
};

// Prints the samples and their least-squares line.
void PrintFit(std::string_view label,
              const std::vector<Sample>& samples,
              std::string_view unit) {
  double size = 0;
  double value = 0;
  const auto count = static_cast<double>(samples.size());
  for (const Sample& sample : samples) {
    size += sample.m_size / count;
    value += sample.m_value / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Sample& sample : samples) {
    covariance += (sample.m_size - size) * (sample.m_value - value);
    variance += (sample.m_size - size) * (sample.m_size - size);
  }
  const double slope = covariance / variance;
  const double constant = value - slope * size;
  double residual = 0;
  std::string points;
  for (const Sample& sample : samples) {
    const double error = sample.m_value - constant - slope * sample.m_size;
    residual = std::max(residual, std::abs(error));
    points += fmt::format("{}: {:.0f}; ", sample.m_size, sample.m_value);
  }
  PrintRow(label, fmt::format("{}{:.3g} + {:.4g} n {}, residual {:.3g}", points,
                              constant, slope, unit, residual));
}

double AllocatedBytes() {
  const auto heap_usage = ::mallinfo2();
  return static_cast<double>(heap_usage.uordblks + heap_usage.hblkhd);
}

void MeasureRoutingTable() {
  constexpr std::size_t kServices = 8'900;
  constexpr std::size_t kAllServers = 75'000;
  std::vector<Sample> times;
  std::vector<Sample> bytes;
  for (const std::size_t divisor : {10U, 3U, 1U}) {
    const std::size_t servers = kAllServers / divisor;
    const auto services = MakeServices(kServices / divisor, servers);
    const auto size = static_cast<double>(servers);
    const double before = AllocatedBytes();
    const auto table = BuildTable(services, nullptr);
    bytes.push_back({size, AllocatedBytes() - before});
    times.push_back({size, MedianNanoseconds(1, [&](std::size_t) {
                             BuildTable(services, table.get());
                           }) / 1e3});
  }
  PrintFit("routing table built from the previous one, n servers", times, "us");
  PrintFit("memory of the routing table, n servers", bytes, "bytes");

  auto services = MakeServices(kServices, kAllServers);
  const auto table = BuildTable(services, nullptr);
  PrintRow(
      "routing table built without a previous one, 75,000 servers of 8,900 "
      "services",
      fmt::format("{:.1f} ms", MedianNanoseconds(1, [&](std::size_t) {
                                 BuildTable(services, nullptr);
                               }) / 1e6));
  for (const std::size_t changed : {1U, 100U, 8'900U}) {
    auto later = services;
    for (std::size_t number = 0; number < changed; ++number)
      later[number].m_servers.pop_back();
    PrintRow(fmt::format("routing table built from the previous one, 75,000 "
                         "servers of 8,900 services, {} services changed",
                         changed),
             fmt::format("{:.1f} ms", MedianNanoseconds(1, [&](std::size_t) {
                                        BuildTable(later, table.get());
                                      }) / 1e6));
  }
}

void MeasureBalancers() {
  std::vector<Sample> homes;
  for (const std::size_t count : {6U, 50U, 200U, 1'071U}) {
    const auto balancers = MakeBalancers(count);
    std::uint64_t sum = 0;
    homes.push_back({static_cast<double>(count),
                     MedianNanoseconds(20'000, [&](std::size_t call) {
                       sum +=
                           balancers->HomeOf(base::MixBits(call)).m_id.value();
                     })});
    VERIFY(sum != 0);
  }
  PrintFit("home of a flow, n balancers", homes, "ns");
}

balancer::ServiceProfile MakeProfile(std::size_t servers) {
  balancer::ServiceProfile profile;
  profile.m_placement =
      placement::MakePlacementSettings(placement::PlacementPreset::kEvenLoad);
  for (std::size_t number = 0; number < servers; ++number)
    profile.m_servers.push_back(
        {base::BackendServerId(base::MixBits(number + 1)), 1'000'000});
  return profile;
}

void MeasureDispatchers() {
  std::vector<Sample> memory;
  std::vector<Sample> advances;
  std::vector<Sample> openings;
  base::Random random(1);
  for (const std::size_t servers : {8U, 16U, 32U, 64U}) {
    const auto profile = MakeProfile(servers);
    const auto size = static_cast<double>(servers);
    constexpr std::size_t kDispatchers = 200;
    std::vector<std::unique_ptr<balancer::ServiceDispatcher>> dispatchers;
    dispatchers.reserve(kDispatchers);
    const double before = AllocatedBytes();
    for (std::size_t number = 0; number < kDispatchers; ++number)
      dispatchers.push_back(
          std::make_unique<balancer::ServiceDispatcher>(profile, kNow));
    memory.push_back({size, (AllocatedBytes() - before) / kDispatchers});
    advances.push_back(
        {size, MedianNanoseconds(kDispatchers, [&](std::size_t index) {
           dispatchers[index]->Advance(kNow, random);
         })});
    const flow::ServiceRouting routing(
        base::ServiceId(1), MakeServices(1, servers).front().m_servers);
    openings.push_back(
        {size, MedianNanoseconds(20'000, [&](std::size_t call) {
           const auto order = routing.OrderFor(base::MixBits(call));
           const auto* server = dispatchers[0]->Choose(order, {}, random);
           VERIFY(server != nullptr);
           dispatchers[0]->Observe({flow::FlowEventKind::kOpeningSent,
                                    base::ServiceId(1),
                                    server->m_id,
                                    {}},
                                   kNow);
           dispatchers[0]->Observe({flow::FlowEventKind::kEnded,
                                    base::ServiceId(1),
                                    server->m_id,
                                    {}},
                                   kNow);
         })});
  }
  PrintFit("memory of a service dispatcher, n servers", memory, "bytes");
  PrintFit("ServiceDispatcher::Advance, n servers", advances, "ns");
  PrintFit("opening placed and ended by a service dispatcher, n servers",
           openings, "ns");
}

void MeasureBrokenFlows() {
  constexpr std::uint64_t kSeeds = 5;
  for (const auto& [change, change_name] : benchmark::kTopologyChangeNames) {
    for (const auto& [variant, name] : benchmark::kBalancerVariantNames) {
      std::string counts;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
        counts += fmt::format(
            "{} ", benchmark::CountBrokenFlows(variant, change, seed));
      PrintRow(fmt::format("broken of {} flows, {}, {}",
                           benchmark::kFlowsOpened, change_name, name),
               counts + "(seeds 1 to 5)");
    }
  }
}

}  // namespace

int main() {
  fmt::print("| measurement | result |\n|---|---|\n");
  MeasureDecisions();
  MeasureFirstPackets();
  MeasureStoredFlow();
  MeasureRoutingTable();
  MeasureBalancers();
  MeasureDispatchers();
  MeasureBrokenFlows();
  return 0;
}
