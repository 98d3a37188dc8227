// Emulates the balancers and servers of one data centre event by event, with
// one slow server and lossy handshakes, and prints how late handshakes and
// answers are at several budgets for extra openings. The balancers decide with
// the steering of the product. Packets after the handshake are not lost.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "LibBase/random.h"
#include "LibSteering/steering.h"

namespace {

using steering::Decision;
using steering::ExtraReason;
using steering::KnownServer;

constexpr int kBalancers = 22;
constexpr int kServers = 40;
constexpr int kSlots = 2;
constexpr double kRequestsPerSecond = 488;
constexpr double kOnceShare = 0.22;
constexpr double kWorkMs = 16;
constexpr double kLongShare = 0.03;
constexpr double kLongFactor = 7;
constexpr double kHopMs = 3;
constexpr double kRetransmitMs = 200;
constexpr double kSeconds = 120;
// The servers' figures are not counted before.
constexpr double kWarmUpSeconds = 20;
constexpr std::uint16_t kRepeatablePort = 443;
constexpr std::uint16_t kOncePort = 444;

struct Scenario {
  double m_percent;
  double m_slow_factor;
  double m_loss;
};

base::TimePoint At(double ms) {
  return base::TimePoint(
      std::chrono::hours(1) +
      std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
}

class Emulation {
 public:
  explicit Emulation(Scenario scenario) : m_scenario(scenario) {
    const base::Ipv4Address address(0xC6120001);
    steering::Manifest manifest;
    manifest.m_version = base::ConfigurationVersion(1);
    manifest.m_routes = {
        {"repeatable", {address, kRepeatablePort}, {{ServiceName()}}},
        {"once",
         {address, kOncePort},
         {{ServiceName()}},
         steering::RequestKind::kNonIdempotent}};
    for (int i = 0; i < kBalancers; ++i) {
      auto& balancer =
          m_balancers.emplace_back(std::make_unique<steering::Steering>(
              steering::SteeringSettings{
                  .m_data_centre = base::DataCentreId("d"),
                  .m_extra_openings_percent = scenario.m_percent},
              static_cast<std::uint64_t>(i), At(0)));
      balancer->SetServersKnown();
      balancer->ApplyManifest(manifest);
      balancer->SetRoutesCurrent(true);
      balancer->SetViewCurrentAsOf(base::TimePoint::max());
      for (int server = 0; server < kServers; ++server)
        balancer->directory().Apply(MakeServer(server), At(0));
    }
    m_slots.assign(kServers, std::vector<double>(kSlots, 0.0));
  }

  void Run() {
    Schedule(0, [this] { OpenNext(); });
    Schedule(0, [this] { Sweep(); });
    while (!m_events.empty() && m_events.top().m_at < kSeconds * 1000) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
    Print();
  }

 private:
  struct Event {
    double m_at;
    std::uint64_t m_order;
    std::function<void()> m_action;
    bool operator<(const Event& other) const {
      return std::tie(m_at, m_order) > std::tie(other.m_at, other.m_order);
    }
  };
  struct Flow {
    int m_balancer;
    std::uint16_t m_port;
    steering::CallerPacket m_opening;
    double m_opened_at;
    bool m_is_open = false;
  };
  using FlowPointer = std::shared_ptr<Flow>;

  static std::string ServiceName() { return "service"; }
  static steering::ServerRecord MakeServer(int index) {
    steering::ServerRecord record;
    record.m_name = steering::ServerName(fmt::format("i-{}", index));
    record.m_service = ServiceName();
    record.m_endpoint = {base::Ipv4Address(0x0A000001), 8080};
    record.m_data_centre = base::DataCentreId("d");
    record.m_slots = kSlots;
    record.m_revision = base::StoreRevision(1);
    return record;
  }
  static int IndexOf(const KnownServer& server) {
    return std::stoi(server.m_record.m_name.value().substr(2));
  }

  void Schedule(double delay_ms, std::function<void()> action) {
    m_events.push({m_now + delay_ms, m_order++, std::move(action)});
  }

  void OpenNext() {
    Schedule(-std::log(1 - m_random.Unit()) * 1000 / kRequestsPerSecond,
             [this] { OpenNext(); });
    auto flow = std::make_shared<Flow>();
    flow->m_balancer = static_cast<int>(m_random.Below(kBalancers));
    flow->m_port = m_random.Unit() < kOnceShare ? kOncePort : kRepeatablePort;
    const auto number = m_next_caller++;
    flow->m_opening.m_flow = {
        {base::Ipv4Address(0x64400000 + (number >> 14)),
         static_cast<std::uint16_t>(1024 + (number & 0x3fff))},
        {base::Ipv4Address(0xC6120001), flow->m_port}};
    flow->m_opening.m_is_opening = true;
    flow->m_opened_at = m_now;
    m_flows[number] = flow;
    SendOpening(flow, number);
  }

  void SendOpening(const FlowPointer& flow, std::uint32_t number) {
    const Decision decision =
        Balancer(*flow).Handle(flow->m_opening, At(m_now));
    Deliver(flow, decision);
    CheckResends(flow->m_balancer);
    Schedule(kRetransmitMs, [this, flow, number] {
      if (!flow->m_is_open)
        SendOpening(flow, number);
      else
        m_flows.erase(number);
    });
  }

  // Schedules the next resend of a balancer, unless it is scheduled already.
  void CheckResends(int balancer) {
    const auto next = m_balancers[balancer]->NextResendAt();
    if (!next || m_resend_at[balancer] == *next)
      return;
    m_resend_at[balancer] = *next;
    const double delay =
        std::chrono::duration<double, std::milli>(*next - At(m_now)).count();
    // The clock of the balancers has whole microseconds.
    constexpr double kRounding = 0.001;
    Schedule(std::max(0.0, delay) + kRounding, [this, balancer, at = *next] {
      if (m_resend_at[balancer] == at)
        SendResends(balancer);
    });
  }

  void SendResends(int balancer) {
    for (const steering::OpeningResend& resend :
         m_balancers[balancer]->PopDueResends(At(m_now))) {
      for (const auto& [number, flow] : m_flows) {
        if (flow->m_opening.m_flow == resend.m_flow)
          Deliver(flow, resend.m_decision);
      }
    }
    CheckResends(balancer);
  }

  // The opening reaches the server and its answer the caller, unless either is
  // lost.
  void Deliver(const FlowPointer& flow, const Decision& decision) {
    const auto* forward = std::get_if<steering::Forward>(&decision.m_action);
    if (forward == nullptr || m_random.Unit() < m_scenario.m_loss ||
        m_random.Unit() < m_scenario.m_loss)
      return;
    const int server = IndexOf(*forward->m_server);
    Schedule(2 * kHopMs + 0.3 + m_random.Unit(),
             [this, flow, server, token = forward->m_token] {
               if (flow->m_is_open)
                 return;
               flow->m_is_open = true;
               Schedule(kHopMs, [this, flow, server, token] {
                 SendRequest(flow, server, token);
               });
             });
  }

  void SendRequest(const FlowPointer& flow,
                   int server,
                   steering::FlowToken token) {
    m_handshakes.push_back(m_now - kHopMs - flow->m_opened_at);
    Send(*flow, token, 1, 500, 80, false);
    auto& slots = m_slots[server];
    auto slot = std::min_element(slots.begin(), slots.end());
    const double work = kWorkMs * (server == 0 ? m_scenario.m_slow_factor : 1) *
                        (m_random.Unit() < kLongShare ? kLongFactor : 1);
    *slot = std::max(*slot, m_now + kHopMs) + work;
    m_at_slow += server == 0 && m_now > kWarmUpSeconds * 1000 ? 1 : 0;
    Schedule(*slot + kHopMs - m_now, [this, flow, token] {
      if (m_now > kWarmUpSeconds * 1000)
        m_answers.push_back(m_now - flow->m_opened_at);
      Schedule(kHopMs, [this, flow, token] {
        Send(*flow, token, 81, 900, 0, false);
        Send(*flow, token, 81, 900, 0, true);
      });
    });
  }

  void Send(const Flow& flow,
            steering::FlowToken token,
            std::uint32_t sequence,
            std::uint32_t acknowledgement,
            std::uint16_t bytes,
            bool is_end) {
    steering::CallerPacket packet = flow.m_opening;
    packet.m_is_opening = false;
    packet.m_has_acknowledgement = true;
    packet.m_token = token;
    packet.m_sequence = sequence;
    packet.m_acknowledgement = acknowledgement;
    packet.m_payload_bytes = bytes;
    packet.m_is_end = is_end;
    Balancer(flow).Handle(packet, At(m_now));
  }

  // Probes always succeed, since all servers are up.
  void Sweep() {
    constexpr double kPeriodMs = 100;
    for (auto& balancer : m_balancers) {
      balancer->Sweep(At(m_now));
      for (const KnownServer* server : balancer->StartDueProbes(At(m_now)))
        balancer->RecordProbeResult(
            server->m_handle, steering::ProbeResult::kAnswered, At(m_now));
    }
    Schedule(kPeriodMs, [this] { Sweep(); });
  }

  steering::Steering& Balancer(const Flow& flow) {
    return *m_balancers[flow.m_balancer];
  }

  static double Percentile(std::vector<double>& values, double percent) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        percent / 100 * static_cast<double>(values.size() - 1))];
  }

  void Print() {
    std::uint64_t copies = 0;
    std::uint64_t trials = 0;
    std::uint64_t acknowledged = 0;
    for (const auto& balancer : m_balancers) {
      const auto& extra = balancer->extra_openings();
      copies += extra.CountsOf(ExtraReason::kEarlyCopy).m_sent;
      acknowledged += extra.CountsOf(ExtraReason::kEarlyCopy).m_acknowledged;
      trials += extra.CountsOf(ExtraReason::kTrial).m_sent;
    }
    const double opened = static_cast<double>(m_handshakes.size());
    const double late = static_cast<double>(
        std::count_if(m_handshakes.begin(), m_handshakes.end(),
                      [](double ms) { return ms > 40; }));
    fmt::print(
        "| {} | {} | {:.1f} | {:.1f} | {:.2f} | {:.0f} | {:.0f} | {:.0f} | "
        "{:.2f} | {:.2f} | {:.2f} | {:.2f} |\n",
        m_scenario.m_percent, m_scenario.m_slow_factor, 100 * m_scenario.m_loss,
        Percentile(m_handshakes, 99), 100 * late / opened,
        Percentile(m_answers, 50), Percentile(m_answers, 99),
        Percentile(m_answers, 99.9),
        100.0 * m_at_slow / static_cast<double>(m_answers.size()),
        100.0 * static_cast<double>(copies) / opened,
        100.0 * static_cast<double>(acknowledged) / opened,
        100.0 * static_cast<double>(trials) / opened);
  }

  Scenario m_scenario;
  base::Random m_random{23};
  std::vector<std::unique_ptr<steering::Steering>> m_balancers;
  // When the scheduled resend of each balancer is due.
  std::vector<base::TimePoint> m_resend_at =
      std::vector<base::TimePoint>(kBalancers);
  // When each slot of each server is free.
  std::vector<std::vector<double>> m_slots;
  std::priority_queue<Event> m_events;
  std::map<std::uint32_t, FlowPointer> m_flows;
  double m_now = 0;
  std::uint64_t m_order = 0;
  std::uint32_t m_next_caller = 0;
  int m_at_slow = 0;
  std::vector<double> m_handshakes;
  std::vector<double> m_answers;
};

}  // namespace

int main() {
  fmt::print(
      "| budget % | slow factor | loss % | handshake p99 ms | handshakes over "
      "40 ms % | answer p50 ms | p99 ms | p99.9 ms | at slow server % | early "
      "copies % | acknowledged % | trials % |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const double loss : {0.0, 0.001, 0.01, 0.025}) {
    for (const double percent : {0.0, 2.0, 5.0, 10.0})
      Emulation({percent, 1, loss}).Run();
  }
  for (const double factor : {5.0, 8.0}) {
    for (const double percent : {0.0, 2.0, 5.0, 10.0})
      Emulation({percent, factor, 0.001}).Run();
  }
  return EXIT_SUCCESS;
}
