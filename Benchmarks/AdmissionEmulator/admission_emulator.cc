#include "AdmissionEmulator/admission_emulator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <utility>

#include "LibBase/random.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/manifest.h"
#include "LibSteering/opening_placer.h"
#include "LibSteering/server_directory.h"
#include "LibSteering/service_admissions.h"

namespace admission_emulator {

namespace {

constexpr double kLocalLatency = 0.0003;
constexpr double kHandshakeSeconds = 0.0003;
constexpr double kRetryDelay = 0.005;
// Every caller retries twice.
constexpr std::uint32_t kAttempts = 3;
constexpr std::uint32_t kAnswerBytes = 1400;
constexpr double kMomentSeconds = 0.1;
constexpr char kService[] = "service";

base::TimePoint TimeOf(double seconds) {
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(1000 + seconds)));
}

base::Duration DurationOf(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

base::Endpoint AddressOf(std::size_t kind) {
  return {base::Ipv4Address(1), static_cast<std::uint16_t>(kind)};
}

// A caller with its flow, if it has one, and its request.
struct Session {
  std::size_t m_kind = 0;
  std::size_t m_data_centre = 0;
  base::Ipv4Address m_address;
  std::uint32_t m_remaining = 0;
  std::size_t m_balancer = 0;
  bool m_has_flow = false;
  std::size_t m_server = 0;
  double m_asked_at = 0;
  std::uint32_t m_attempts = 0;
  bool m_is_counted = false;
  // The requests that the present flow has carried.
  std::uint32_t m_flow_requests = 0;
};
using SessionPtr = std::shared_ptr<Session>;

struct Balancer {
  std::size_t m_data_centre = 0;
  steering::ServerDirectory m_directory;
  std::vector<steering::KnownServer*> m_servers;
  std::unique_ptr<steering::OpeningPlacer> m_placer;
  std::unique_ptr<steering::OpeningPlacer> m_even_placer;
  std::unique_ptr<steering::ServiceAdmissions> m_admissions;
};

flow::FlowKey FlowOf(const Session& session) {
  return {{session.m_address, 1}, AddressOf(session.m_kind)};
}

struct Server {
  std::size_t m_data_centre = 0;
  std::uint32_t m_running = 0;
  std::deque<std::function<void()>> m_queue;
  bool m_is_lost = false;
  std::uint64_t m_received_in_burst = 0;
};

class Emulation {
 public:
  explicit Emulation(const Scenario& scenario);
  Results RunToEnd();

 private:
  using Action = std::function<void()>;
  struct Event {
    double m_at;
    std::uint64_t m_number;
    Action m_action;
    bool operator<(const Event& other) const {
      return std::pair(m_at, m_number) > std::pair(other.m_at, other.m_number);
    }
  };

  bool IsInBurst() const {
    return m_now >= m_scenario.m_burst_start_seconds &&
           m_now < m_scenario.m_burst_end_seconds;
  }
  double Latency(std::size_t from, std::size_t to) const {
    return from == to ? kLocalLatency : m_deployment.m_remote_latency_seconds;
  }
  double Exponential(double mean) {
    return -mean * std::log(1.0 - m_random.Unit());
  }
  // The time at which a balancer handles a packet that arrives at `at`.
  double HandledAt(double at) const {
    const double step = m_scenario.m_late_processor_seconds;
    return step == 0 ? at : std::ceil(at / step) * step;
  }
  void At(double at, Action action) {
    m_events.push({at, m_number++, std::move(action)});
  }
  void ScheduleArrival(std::size_t kind);
  void StartSession(std::size_t kind);
  void StartRequest(const SessionPtr& session);
  void Open(const SessionPtr& session);
  void HandleOpening(const SessionPtr& session);
  void SendRequest(const SessionPtr& session);
  void HandleRequest(const SessionPtr& session, double sent_at);
  void StartWork(const SessionPtr& session, double sent_at);
  void EndWork(const SessionPtr& session, double sent_at);
  // Sends an answer of the session's server to the caller, whose
  // acknowledgement passes the balancer.
  void Answer(const SessionPtr& session, double sent_at, bool is_served);
  void HandleAcknowledgement(std::size_t balancer,
                             std::size_t server,
                             const flow::FlowKey& flow,
                             double sent_at,
                             std::uint32_t bytes);
  void ReceiveAnswer(const SessionPtr& session);
  void RetryOrFail(const SessionPtr& session);
  void EndRequest(const SessionPtr& session);
  void CloseFlow(const SessionPtr& session);
  void SetServersLost(bool is_lost);
  double EndSeconds() const {
    return double(m_results.m_moments.size()) * kMomentSeconds;
  }
  Results::Moment& MomentNow() {
    return m_results
        .m_moments[std::min(m_results.m_moments.size() - 1,
                            static_cast<std::size_t>(m_now / kMomentSeconds))];
  }
  ClassResults& Count(const SessionPtr& session) {
    return session->m_is_counted ? m_results.m_classes[session->m_kind]
                                 : m_ignored;
  }
  void ComputeBound();
  void ComputeBusiest();

  const Scenario& m_scenario;
  const Deployment& m_deployment;
  base::Random m_random;
  base::Random m_arrivals;
  double m_now = 0;
  std::uint64_t m_number = 0;
  std::uint32_t m_next_address = 1;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<Server> m_servers;
  Results m_results;
  ClassResults m_ignored;
};

Emulation::Emulation(const Scenario& scenario)
    : m_scenario(scenario),
      m_deployment(scenario.m_deployment),
      m_random(scenario.m_seed),
      m_arrivals(scenario.m_seed + 1) {
  const std::size_t centres = m_deployment.m_data_centres;
  for (std::size_t i = 0; i < m_deployment.m_servers; ++i)
    m_servers.emplace_back().m_data_centre = i % centres;
  steering::Manifest manifest;
  for (std::size_t kind = 0; kind < m_deployment.m_classes.size(); ++kind) {
    const RequestClass& description = m_deployment.m_classes[kind];
    steering::Route& route = manifest.m_routes.emplace_back();
    route.m_address = AddressOf(kind);
    route.m_services.push_back({kService, 1});
    route.m_priority = description.m_priority;
    route.m_target_latency = DurationOf(description.m_target_seconds);
  }
  steering::PlacementPolicy policy;
  policy.m_remote_penalty = m_scenario.m_remote_penalty;
  for (std::size_t i = 0; i < m_deployment.m_balancers; ++i) {
    auto balancer = std::make_unique<Balancer>();
    balancer->m_data_centre = i % centres;
    for (std::size_t s = 0; s < m_servers.size(); ++s) {
      steering::ServerRecord record;
      record.m_name = steering::ServerName(std::to_string(s));
      record.m_service = kService;
      record.m_data_centre =
          base::DataCentreId(std::to_string(m_servers[s].m_data_centre));
      record.m_slots = m_deployment.m_slots;
      balancer->m_directory.Apply(record, TimeOf(-100));
      balancer->m_servers.push_back(
          balancer->m_directory.FindByName(record.m_name));
    }
    balancer->m_placer = std::make_unique<steering::OpeningPlacer>(
        policy, base::DataCentreId(std::to_string(balancer->m_data_centre)));
    steering::PlacementPolicy even = policy;
    even.m_remote_penalty = 0;
    balancer->m_even_placer = std::make_unique<steering::OpeningPlacer>(
        even, base::DataCentreId(std::to_string(balancer->m_data_centre)));
    balancer->m_admissions = std::make_unique<steering::ServiceAdmissions>(
        balancer->m_directory,
        base::DataCentreId(std::to_string(balancer->m_data_centre)));
    balancer->m_admissions->SetRoutes(manifest);
    m_balancers.push_back(std::move(balancer));
  }
  m_results.m_classes.resize(m_deployment.m_classes.size());
  m_results.m_moments.resize(static_cast<std::size_t>(
      std::ceil(m_scenario.m_end_seconds / kMomentSeconds)));
}

Results Emulation::RunToEnd() {
  for (std::size_t kind = 0; kind < m_deployment.m_classes.size(); ++kind)
    ScheduleArrival(kind);
  At(m_scenario.m_burst_start_seconds, [this] { SetServersLost(true); });
  At(m_scenario.m_burst_end_seconds, [this] { SetServersLost(false); });
  while (!m_events.empty()) {
    const Event event = m_events.top();
    if (event.m_at > m_scenario.m_end_seconds)
      break;
    m_events.pop();
    m_now = event.m_at;
    event.m_action();
  }
  ComputeBound();
  ComputeBusiest();
  return std::move(m_results);
}

void Emulation::ScheduleArrival(std::size_t kind) {
  const double rate = m_deployment.m_classes[kind].m_rate_per_second /
                      m_deployment.m_requests_per_flow;
  const double greatest = std::max(1.0, m_scenario.m_burst_factor);
  const double gap = -std::log(1.0 - m_arrivals.Unit()) / (rate * greatest);
  At(m_now + gap, [this, kind, greatest] {
    // Thinning: arrivals at the greatest rate are kept with the share of the
    // present rate.
    const double factor = IsInBurst() ? m_scenario.m_burst_factor : 1.0;
    if (m_arrivals.Unit() < factor / greatest)
      StartSession(kind);
    ScheduleArrival(kind);
  });
}

void Emulation::StartSession(std::size_t kind) {
  const std::size_t centres = m_deployment.m_data_centres;
  auto session = std::make_shared<Session>();
  session->m_kind = kind;
  const double first_share = m_scenario.m_first_data_centre_factor / centres;
  session->m_data_centre = centres == 1 || m_random.Unit() < first_share
                               ? 0
                               : 1 + m_random.Below(centres - 1);
  const std::uint32_t shared = m_scenario.m_shared_addresses;
  const std::uint32_t number = m_next_address++;
  session->m_address =
      base::Ipv4Address(shared == 0 ? number : number % shared);
  session->m_remaining = m_deployment.m_requests_per_flow;
  session->m_balancer = m_random.Below(m_balancers.size());
  StartRequest(session);
}

void Emulation::StartRequest(const SessionPtr& session) {
  session->m_asked_at = m_now;
  session->m_attempts = 1;
  session->m_is_counted = m_now >= m_scenario.m_count_from_seconds &&
                          m_now < m_scenario.m_count_to_seconds;
  ++Count(session).m_asked;
  ++MomentNow().m_asked;
  if (session->m_has_flow && m_servers[session->m_server].m_is_lost)
    CloseFlow(session);
  if (!session->m_has_flow) {
    Open(session);
    return;
  }
  At(HandledAt(m_now + m_deployment.m_caller_latency_seconds), [this, session] {
    ++m_balancers[session->m_balancer]
          ->m_servers[session->m_server]
          ->m_requests_in_progress;
    SendRequest(session);
  });
}

void Emulation::Open(const SessionPtr& session) {
  const std::size_t centres = m_deployment.m_data_centres;
  const bool is_new_path =
      m_scenario.m_retry_path == RetryPath::kAnyBalancer ||
      m_balancers[session->m_balancer]->m_data_centre != session->m_data_centre;
  if (is_new_path) {
    const std::size_t count =
        (m_balancers.size() - session->m_data_centre + centres - 1) / centres;
    session->m_balancer =
        session->m_data_centre + centres * m_random.Below(count);
  }
  At(HandledAt(m_now + m_deployment.m_caller_latency_seconds),
     [this, session] { HandleOpening(session); });
}

void Emulation::HandleOpening(const SessionPtr& session) {
  Balancer& balancer = *m_balancers[session->m_balancer];
  const base::TimePoint now = TimeOf(m_now);
  const double caller = m_deployment.m_caller_latency_seconds;
  const bool is_admitted =
      m_scenario.m_admission == Admission::kOff ||
      balancer.m_admissions->Decide(kService, FlowOf(*session), m_random, now)
          ->IsAdmitted();
  if (!is_admitted) {
    ++Count(session).m_refused;
    ++MomentNow().m_refused;
    At(m_now + caller, [this, session] { RetryOrFail(session); });
    return;
  }
  ++Count(session).m_admitted;
  const bool is_even =
      m_scenario.m_adapts_placement &&
      m_random.Unit() < balancer.m_admissions->RemoteShareOf(kService);
  const auto placement =
      (is_even ? balancer.m_even_placer : balancer.m_placer)
          ->Place(balancer.m_servers, nullptr, m_random, now);
  steering::KnownServer& known = *placement->m_server;
  session->m_server = std::stoul(known.m_record.m_name.value());
  session->m_has_flow = true;
  session->m_flow_requests = 0;
  ++known.m_requests_in_progress;
  steering::ServerDirectory::UpdateIndex(known);
  ++known.m_flows;
  const double way = Latency(balancer.m_data_centre,
                             m_servers[session->m_server].m_data_centre);
  const double placed_at = m_now;
  At(HandledAt(m_now + way + kHandshakeSeconds + 2 * caller),
     [this, session, placed_at] {
       Balancer& handler = *m_balancers[session->m_balancer];
       steering::Observation observation;
       observation.m_handshake_time = DurationOf(m_now - placed_at);
       handler.m_admissions->Record(FlowOf(*session),
                                    *handler.m_servers[session->m_server],
                                    observation, TimeOf(m_now));
       SendRequest(session);
     });
}

void Emulation::SendRequest(const SessionPtr& session) {
  const double way = Latency(m_balancers[session->m_balancer]->m_data_centre,
                             m_servers[session->m_server].m_data_centre);
  const double sent_at = m_now;
  At(m_now + way,
     [this, session, sent_at] { HandleRequest(session, sent_at); });
}

void Emulation::HandleRequest(const SessionPtr& session, double sent_at) {
  Server& server = m_servers[session->m_server];
  server.m_received_in_burst += IsInBurst() ? 1 : 0;
  if (server.m_is_lost || (server.m_running >= m_deployment.m_slots &&
                           server.m_queue.size() >= m_deployment.m_queue)) {
    ++Count(session).m_shed;
    ++MomentNow().m_shed;
    Count(session).m_shed_later += session->m_flow_requests > 0 ? 1 : 0;
    if (m_deployment.m_refusal_seconds == 0)
      Answer(session, sent_at, false);
    else
      At(m_now + m_deployment.m_refusal_seconds,
         [this, session, sent_at] { Answer(session, sent_at, false); });
    return;
  }
  if (server.m_running < m_deployment.m_slots)
    StartWork(session, sent_at);
  else
    server.m_queue.emplace_back(
        [this, session, sent_at] { StartWork(session, sent_at); });
}

void Emulation::StartWork(const SessionPtr& session, double sent_at) {
  ++m_servers[session->m_server].m_running;
  const double work = m_deployment.m_classes[session->m_kind].m_work_seconds *
                      (0.75 + 0.5 * m_random.Unit());
  const bool is_slow = m_random.Unit() < m_deployment.m_slow_share;
  const double seconds = work * (is_slow ? 7 : 1);
  for (double at = m_now; at < std::min(m_now + seconds, EndSeconds());) {
    const auto moment = static_cast<std::size_t>(at / kMomentSeconds + 1e-6);
    const double end =
        std::min(m_now + seconds, double(moment + 1) * kMomentSeconds);
    m_results.m_moments[std::min(moment, m_results.m_moments.size() - 1)]
        .m_busy_slot_seconds += end - at;
    at = end;
  }
  At(m_now + seconds, [this, session, sent_at] { EndWork(session, sent_at); });
}

void Emulation::EndWork(const SessionPtr& session, double sent_at) {
  Server& server = m_servers[session->m_server];
  --server.m_running;
  Answer(session, sent_at, true);
  if (server.m_queue.empty())
    return;
  const Action next = std::move(server.m_queue.front());
  server.m_queue.pop_front();
  next();
}

void Emulation::Answer(const SessionPtr& session,
                       double sent_at,
                       bool is_served) {
  const double caller = m_deployment.m_caller_latency_seconds;
  const std::uint32_t bytes =
      is_served && m_random.Unit() >= m_scenario.m_short_answers
          ? kAnswerBytes
          : m_scenario.m_refusal_bytes;
  At(HandledAt(m_now + 2 * caller),
     [this, balancer = session->m_balancer, server = session->m_server,
      flow = FlowOf(*session), sent_at, bytes] {
       HandleAcknowledgement(balancer, server, flow, sent_at, bytes);
     });
  At(m_now + caller, [this, session, is_served] {
    if (is_served) {
      ReceiveAnswer(session);
      return;
    }
    CloseFlow(session);
    RetryOrFail(session);
  });
}

void Emulation::HandleAcknowledgement(std::size_t balancer,
                                      std::size_t server,
                                      const flow::FlowKey& flow,
                                      double sent_at,
                                      std::uint32_t bytes) {
  Balancer& handler = *m_balancers[balancer];
  --handler.m_servers[server]->m_requests_in_progress;
  steering::ServerDirectory::UpdateIndex(*handler.m_servers[server]);
  if (bytes == m_scenario.m_refusal_bytes &&
      m_random.Unit() < m_scenario.m_unseen_refusals)
    return;
  steering::Observation observation;
  observation.m_answer =
      admission::AnswerSample{DurationOf(m_now - sent_at), bytes};
  handler.m_admissions->Record(flow, *handler.m_servers[server], observation,
                               TimeOf(m_now));
}

void Emulation::ReceiveAnswer(const SessionPtr& session) {
  const RequestClass& kind = m_deployment.m_classes[session->m_kind];
  const double waited = m_now - session->m_asked_at;
  if (waited <= kind.m_limit_seconds) {
    const bool is_in_time = waited <= kind.m_target_seconds;
    ++Count(session).m_served;
    ++MomentNow().m_served;
    Count(session).m_in_time += is_in_time ? 1 : 0;
    Count(session).m_worth += kind.m_worth * (is_in_time ? 1.0 : 0.3);
    if (session->m_is_counted)
      m_results.m_worth += kind.m_worth * (is_in_time ? 1.0 : 0.3);
  }
  EndRequest(session);
}

void Emulation::RetryOrFail(const SessionPtr& session) {
  if (session->m_attempts >= kAttempts) {
    EndRequest(session);
    return;
  }
  ++session->m_attempts;
  At(m_now + kRetryDelay, [this, session] { Open(session); });
}

void Emulation::EndRequest(const SessionPtr& session) {
  ++session->m_flow_requests;
  if (--session->m_remaining == 0) {
    CloseFlow(session);
    return;
  }
  At(m_now + Exponential(m_deployment.m_pause_seconds),
     [this, session] { StartRequest(session); });
}

void Emulation::CloseFlow(const SessionPtr& session) {
  if (!session->m_has_flow)
    return;
  session->m_has_flow = false;
  --m_balancers[session->m_balancer]->m_servers[session->m_server]->m_flows;
}

void Emulation::SetServersLost(bool is_lost) {
  const auto count = static_cast<std::size_t>(
      m_scenario.m_lost_servers * static_cast<double>(m_servers.size()));
  for (std::size_t s = 0; s < count; ++s) {
    m_servers[s].m_is_lost = is_lost;
    for (const auto& balancer : m_balancers) {
      auto& reachability = balancer->m_servers[s]->m_reachability;
      if (!is_lost)
        reachability.RecordProgress(TimeOf(m_now));
      for (std::uint32_t i = 0;
           is_lost && i < steering::ServerReachability::kUnreachableThreshold;
           ++i)
        reachability.RecordProbeResult(steering::ProbeResult::kSilent,
                                       TimeOf(m_now));
    }
  }
}

void Emulation::ComputeBound() {
  const auto& kinds = m_deployment.m_classes;
  std::vector<std::size_t> order(kinds.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return kinds[a].m_worth / kinds[a].m_work_seconds >
           kinds[b].m_worth / kinds[b].m_work_seconds;
  });
  const double counted =
      std::min(m_scenario.m_count_to_seconds, m_scenario.m_end_seconds) -
      m_scenario.m_count_from_seconds;
  const bool is_burst_counted =
      m_scenario.m_count_from_seconds >= m_scenario.m_burst_start_seconds;
  const double lost = is_burst_counted ? m_scenario.m_lost_servers : 0;
  double slot_seconds = m_deployment.Slots() * (1 - lost) * counted;
  m_results.m_bound_shares.assign(kinds.size(), 0);
  for (const std::size_t kind : order) {
    const double asked = static_cast<double>(m_results.m_classes[kind].m_asked);
    const double work =
        kinds[kind].m_work_seconds * (1 + 6 * m_deployment.m_slow_share);
    const double served = std::min(asked, slot_seconds / work);
    slot_seconds -= served * work;
    m_results.m_bound_shares[kind] = asked == 0 ? 1 : served / asked;
    m_results.m_bound_worth += served * kinds[kind].m_worth;
  }
}

void Emulation::ComputeBusiest() {
  double slot_seconds = 0;
  const auto moment_of = [](double seconds) {
    return static_cast<std::size_t>(std::lround(seconds / kMomentSeconds));
  };
  const std::size_t first = moment_of(m_scenario.m_burst_start_seconds);
  const std::size_t last = std::min(m_results.m_moments.size(),
                                    moment_of(m_scenario.m_burst_end_seconds));
  for (std::size_t i = first; i < last; ++i)
    slot_seconds += m_results.m_moments[i].m_busy_slot_seconds;
  m_results.m_busy_share =
      slot_seconds /
      (double(last - first) * kMomentSeconds * m_deployment.Slots());
  std::uint64_t sum = 0;
  std::uint64_t busiest = 0;
  for (const Server& server : m_servers) {
    sum += server.m_received_in_burst;
    busiest = std::max(busiest, server.m_received_in_burst);
  }
  m_results.m_busiest = double(busiest) * double(m_servers.size()) /
                        double(std::max<std::uint64_t>(1, sum));
}

}  // namespace

ClassResults Results::Sum() const {
  ClassResults sum;
  for (const ClassResults& kind : m_classes) {
    sum.m_asked += kind.m_asked;
    sum.m_served += kind.m_served;
    sum.m_in_time += kind.m_in_time;
    sum.m_admitted += kind.m_admitted;
    sum.m_refused += kind.m_refused;
    sum.m_shed += kind.m_shed;
    sum.m_shed_later += kind.m_shed_later;
    sum.m_worth += kind.m_worth;
  }
  return sum;
}

Results Run(const Scenario& scenario) {
  return Emulation(scenario).RunToEnd();
}

}  // namespace admission_emulator
