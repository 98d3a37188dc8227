// Measures the cost of the membership protocol per member: control bytes and
// processor time by the number of members of a data centre, the time for an
// update to reach all members, and the cost of replacing one member. Members
// run in one process on simulated time. Messages are encoded and decoded as on
// the network. Processor time includes the simulation loop.

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/hash.h"
#include "LibMembership/member_snapshot.h"
#include "LibMembership/membership.h"
#include "LibMembership/vm_entry.h"
#include "LibPeer/codec.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kAdvancePeriod = milliseconds(20);
constexpr base::Duration kNetworkDelay = milliseconds(1);
constexpr std::size_t kIpAndUdpHeaderBytes = 28;
constexpr std::uint64_t kSeed = 1;

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto microseconds = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(microseconds) / 1e6;
}

double AllocatedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Simulates members in data centres of equal size that exchange datagrams
// without loss.
class MembershipSimulation {
 public:
  MembershipSimulation(std::size_t size, std::size_t data_centres)
      : m_data_centres(data_centres), m_random(kSeed) {
    for (std::size_t index = 0; index < size; ++index)
      m_vm_list.push_back(MakeVmEntry(index, index % data_centres));
    for (std::size_t index = 0; index < size; ++index)
      StartMember(index);
  }

  base::TimePoint Now() const { return m_now; }
  double BytesBetweenDataCentres() const {
    return static_cast<double>(m_bytes_between_data_centres);
  }
  double Bytes() const { return static_cast<double>(m_bytes); }
  membership::Membership& Member(std::size_t index) {
    return *m_members[index];
  }
  std::size_t Size() const { return m_members.size(); }

  bool HasConverged() const {
    std::vector<std::size_t> running(m_data_centres, 0);
    for (std::size_t index = 0; index < m_members.size(); ++index)
      running[index % m_data_centres] += m_members[index] != nullptr;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
      const auto& member = m_members[index];
      if (member &&
          member->LiveMembers().size() != running[index % m_data_centres])
        return false;
    }
    return true;
  }

  void KillMember(std::size_t index) { m_members[index].reset(); }

  void StartMember(std::size_t index) {
    const membership::VmEntry& vm = m_vm_list[index];
    peer::MemberRecord self{base::BalancerId(m_random.Next()),
                            vm.m_name,
                            vm.m_data_centre,
                            vm.m_traffic,
                            vm.m_peer,
                            vm.m_admin,
                            peer::MemberState::kJoining,
                            ++m_incarnation,
                            {}};
    if (m_members.size() <= index)
      m_members.resize(index + 1);
    m_members[index] = std::make_unique<membership::Membership>(
        membership::Settings{}, std::move(self), m_now);
    SendMessages(index, m_members[index]->ReceiveVmList(m_vm_list, m_now));
    m_members[index]->Serve();
  }

  base::Duration RunUntil(const std::function<bool()>& condition,
                          base::Duration limit) {
    const base::TimePoint begin = m_now;
    while (m_now - begin < limit && !condition())
      Step();
    return m_now - begin;
  }

  void Run(base::Duration duration) {
    RunUntil([] { return false; }, duration);
  }

 private:
  struct Datagram {
    std::size_t m_from;
    std::size_t m_to;
    std::string m_bytes;
  };

  static base::Endpoint MakeEndpoint(std::size_t index, std::uint16_t port) {
    constexpr std::uint32_t kNetwork = 0x7F400000;
    return {base::Ipv4Address(kNetwork + static_cast<std::uint32_t>(index)),
            port};
  }

  static std::size_t MemberIndexOf(base::Endpoint endpoint) {
    return endpoint.m_address.value() - MakeEndpoint(0, 0).m_address.value();
  }

  static membership::VmEntry MakeVmEntry(std::size_t index,
                                         std::size_t data_centre) {
    return {"entry-vm-" + std::to_string(index),
            base::DataCentreId("north-" + std::to_string(data_centre)),
            membership::VmState::kLive,
            MakeEndpoint(index, 6'000),
            MakeEndpoint(index, 7'000),
            MakeEndpoint(index, 8'000)};
  }

  // Delivers the datagrams of one network delay. Each step advances only part
  // of the members, so that their advance times are spread like those of real
  // processes.
  void Step() {
    m_now += kNetworkDelay;
    std::vector<Datagram> due;
    std::swap(due, m_in_flight);
    for (const Datagram& datagram : due)
      Deliver(datagram);
    const std::size_t parts = kAdvancePeriod / kNetworkDelay;
    const std::size_t part = (m_now.time_since_epoch() / kNetworkDelay) % parts;
    for (std::size_t index = part; index < m_members.size(); index += parts) {
      if (m_members[index])
        SendMessages(index, m_members[index]->Advance(m_now, m_random));
    }
  }

  void Deliver(const Datagram& datagram) {
    if (datagram.m_to >= m_members.size() || !m_members[datagram.m_to])
      return;
    const auto message =
        peer::Decode(peer::Transport::kDatagram, datagram.m_bytes);
    SendMessages(datagram.m_to, m_members[datagram.m_to]->ReceiveMessage(
                                    MakeEndpoint(datagram.m_from, 7'000),
                                    message.value(), m_now));
  }

  void SendMessages(std::size_t index, const membership::Effects& effects) {
    for (const auto& effect : effects) {
      const auto* send = std::get_if<membership::SendMessage>(&effect);
      if (!send)
        continue;
      std::string bytes =
          peer::Encode(peer::Transport::kDatagram, send->m_message).value();
      const std::size_t sent = bytes.size() + kIpAndUdpHeaderBytes;
      const std::size_t to = MemberIndexOf(send->m_to);
      m_bytes += sent;
      if (index % m_data_centres != to % m_data_centres)
        m_bytes_between_data_centres += sent;
      m_in_flight.push_back({index, to, std::move(bytes)});
    }
  }

  base::TimePoint m_now{std::chrono::hours(1)};
  std::size_t m_data_centres;
  base::Random m_random;
  std::vector<membership::VmEntry> m_vm_list;
  std::vector<std::unique_ptr<membership::Membership>> m_members;
  std::vector<Datagram> m_in_flight;
  std::uint64_t m_incarnation = 1;
  std::size_t m_bytes = 0;
  std::size_t m_bytes_between_data_centres = 0;
};

struct Point {
  double m_members;
  double m_value;
};

// Prints the least-squares line through the points and its greatest residual.
void PrintFit(const char* name, const std::vector<Point>& points) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (const Point& point : points) {
    n += 1;
    x += point.m_members;
    y += point.m_value;
    xx += point.m_members * point.m_members;
    xy += point.m_members * point.m_value;
  }
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  const double intercept = (y - slope * x) / n;
  double residual = 0;
  for (const Point& point : points) {
    residual = std::max(residual, std::abs(point.m_value - intercept -
                                           slope * point.m_members));
  }
  std::printf("fit %s = %.2f + %.5f * members, greatest residual %.2f\n", name,
              intercept, slope, residual);
}

// Runs until no member has pending updates from the formation of the data
// centres.
void RunUntilUpdatesSent(MembershipSimulation& simulation) {
  constexpr base::Duration kLimit = seconds(600);
  simulation.RunUntil(
      [&] {
        for (std::size_t index = 0; index < simulation.Size(); ++index) {
          if (simulation.Member(index).PendingUpdateCount() > 0)
            return false;
        }
        return true;
      },
      kLimit);
}

bool HasVersion(MembershipSimulation& simulation,
                base::ConfigurationVersion version) {
  std::size_t members_with_version = 0;
  for (std::size_t index = 0; index < simulation.Size(); ++index) {
    membership::Membership& member = simulation.Member(index);
    const auto newest = member.NewestKnownConfiguration(simulation.Now());
    member.SetConfiguration(newest.m_version, std::nullopt);
    members_with_version += member.Self().m_configuration.m_version == version;
  }
  return members_with_version == simulation.Size();
}

struct Cost {
  double m_sent_bytes_per_second;
  double m_processor_microseconds_per_second;
  double m_replacement_bytes;
  double m_memory_bytes;
};

// Measures one data centre of `size` members and prints a line.
Cost MeasureSize(std::size_t size) {
  const auto members = static_cast<double>(size);
  const double allocated = AllocatedBytes();
  MembershipSimulation simulation(size, 1);
  const auto converged = [&] { return simulation.HasConverged(); };
  const auto formed = simulation.RunUntil(converged, seconds(120));
  RunUntilUpdatesSent(simulation);

  const double memory = (AllocatedBytes() - allocated) / members;
  constexpr base::Duration kSteady = seconds(20);
  double bytes = simulation.Bytes();
  double cpu = ProcessorSeconds();
  simulation.Run(kSteady);
  const double per_second = members * ToSeconds(kSteady);
  const double steady = (simulation.Bytes() - bytes) / per_second;
  cpu = (ProcessorSeconds() - cpu) / per_second;

  bytes = simulation.Bytes();
  simulation.KillMember(1);
  const auto detected = simulation.RunUntil(converged, seconds(30));
  simulation.Run(seconds(10));
  simulation.StartMember(1);
  const auto joined = simulation.RunUntil(converged, seconds(30));
  simulation.Run(seconds(10));
  const double elapsed = ToSeconds(detected + joined + seconds(20));
  const double replacement =
      (simulation.Bytes() - bytes) / members - steady * elapsed;

  const base::ConfigurationVersion version(9);
  simulation.Member(0).SetConfiguration(version, std::nullopt);
  const auto spread = simulation.RunUntil(
      [&] { return HasVersion(simulation, version); }, seconds(30));

  std::printf(
      "members %zu: sent %.0f B/s, processor %.0f us/s (%.3f%% of a core), "
      "memory %.1f KB, "
      "converged %.2f s after the start, %.2f s after a kill, %.2f s after a "
      "join, version known to all in %.2f s, replacement %.0f B sent per "
      "member\n",
      size, steady, cpu * 1e6, cpu * 100, memory / 1e3, ToSeconds(formed),
      ToSeconds(detected), ToSeconds(joined), ToSeconds(spread), replacement);
  return {steady, cpu * 1e6, replacement, memory};
}

// Measures several data centres of `members_each` members and prints a line. A
// data centre of the present size has 7 members.
void MeasureDataCentres(std::size_t data_centres, std::size_t members_each) {
  const std::size_t size = data_centres * members_each;
  MembershipSimulation simulation(size, data_centres);
  RunUntilUpdatesSent(simulation);
  constexpr base::Duration kSteady = seconds(60);
  const double bytes = simulation.Bytes();
  const double between = simulation.BytesBetweenDataCentres();
  simulation.Run(kSteady);
  const double member_seconds = static_cast<double>(size) * ToSeconds(kSteady);
  const double sent = (simulation.Bytes() - bytes) / member_seconds;
  const double sent_between =
      (simulation.BytesBetweenDataCentres() - between) / ToSeconds(kSteady);
  const base::ConfigurationVersion version(9);
  simulation.Member(0).SetConfiguration(version, std::nullopt);
  const auto spread = simulation.RunUntil(
      [&] { return HasVersion(simulation, version); }, seconds(30));
  std::printf(
      "data centres %zu of %zu members: sent %.0f B/s per member, %.0f B/s "
      "between data centres in total, version known to all in %.2f s\n",
      data_centres, members_each, sent, sent_between, ToSeconds(spread));
}

// Measures the ranking of a flow's home and the next two members, and prints a
// line.
void MeasureRank(std::size_t size) {
  constexpr std::uint64_t kFlows = 100'000;
  constexpr std::size_t kCount = 3;
  std::vector<membership::SnapshotMember> members;
  for (std::size_t index = 0; index < size; ++index)
    members.push_back({base::BalancerId(base::MixBits(index)), {}});
  const membership::MemberSnapshot snapshot(std::move(members));
  std::uint64_t sum = 0;
  const double begin = ProcessorSeconds();
  for (std::uint64_t flow = 0; flow < kFlows; ++flow)
    sum += snapshot.Rank(base::MixBits(flow), kCount).front().m_id.value();
  const double processor_seconds = ProcessorSeconds() - begin;
  std::printf("rank of %zu among %zu members: %.0f ns (sum %lx)\n", kCount,
              size, processor_seconds / static_cast<double>(kFlows) * 1e9, sum);
}

}  // namespace

int main() {
  for (const std::size_t size : {7, 50, 200, 1'000})
    MeasureRank(size);
  std::vector<Point> sent;
  std::vector<Point> processor;
  std::vector<Point> replacement;
  std::vector<Point> memory;
  for (const std::size_t size : {6, 7, 50, 200, 1'000}) {
    const auto members = static_cast<double>(size);
    const Cost cost = MeasureSize(size);
    sent.push_back({members, cost.m_sent_bytes_per_second});
    processor.push_back({members, cost.m_processor_microseconds_per_second});
    replacement.push_back({members, cost.m_replacement_bytes});
    memory.push_back({members, cost.m_memory_bytes});
  }
  PrintFit("sent B/s", sent);
  PrintFit("processor us/s", processor);
  PrintFit("replacement B", replacement);
  PrintFit("memory B", memory);
  MeasureDataCentres(3, 7);
  MeasureDataCentres(4, 7);
  MeasureDataCentres(7, 7);
  MeasureDataCentres(7, 50);
  return 0;
}
