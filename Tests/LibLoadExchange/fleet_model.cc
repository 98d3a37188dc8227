#include "LibLoadExchange/fleet_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibSteering/steering_fixture.h"

namespace load_exchange {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHalfRoundTrip(1);
constexpr milliseconds kTimeLimit(2500);

std::uint32_t FalseToken() {
  return steering::TokensOf(steering::ServerName("i-3")).front().value();
}

}  // namespace

FleetModel::Balancer::Balancer(std::uint32_t number,
                               const base::DataCentreId& data_centre)
    : m_address(number + 1),
      m_steering({data_centre}, number + 1, base::TimePoint()),
      m_collector(data_centre, number + 1),
      m_exchange(m_address, data_centre) {}

base::DataCentreId FleetModel::DataCentre(std::uint32_t number) const {
  return base::DataCentreId("hall-" +
                            std::to_string(number % m_settings.m_data_centres));
}

FleetModel::FleetModel(const FleetModelSettings& settings)
    : m_settings(settings), m_random(settings.m_seed) {
  for (std::uint32_t i = 0; i < settings.m_balancers; ++i) {
    m_balancers.push_back(std::make_unique<Balancer>(i, DataCentre(i)));
    steering::Steering& steering = m_balancers.back()->m_steering;
    steering.SetServersKnown();
    steering.ApplyManifest(steering::MakeManifest(1));
    steering.SetRoutesCurrent(true);
    steering.SetViewCurrentAsOf(base::TimePoint::max());
    for (std::uint32_t j = 0; j < settings.m_servers; ++j) {
      auto record = steering::MakeServer("i-" + std::to_string(j));
      record.m_data_centre = DataCentre(j);
      record.m_slots = 2;
      steering.directory().Apply(record, m_now);
    }
    const auto offset = milliseconds(m_random.Below(650));
    Schedule(offset, [this, i] { Poll(i); });
    Schedule(offset, [this, i] { Sweep(i); });
  }
  Schedule({}, [this] { SendRequest(); });
}

int FleetModel::RequestsOf(const std::string& server) const {
  const auto found = m_requests.find(server);
  return found == m_requests.end() ? 0 : found->second;
}

void FleetModel::RunFor(base::Duration duration) {
  const base::TimePoint end = m_now + duration;
  while (m_events.top().m_at < end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_action();
  }
  m_now = end;
}

void FleetModel::Schedule(base::Duration delay, std::function<void()> action) {
  m_events.push({m_now + delay, m_event_number++, std::move(action)});
}

LoadReport FleetModel::ReportOf(std::uint32_t balancer) {
  Balancer& own = *m_balancers[balancer];
  LoadReport report =
      own.m_collector.Report(own.m_steering, own.m_exchange.fleet(), m_now);
  if (m_settings.m_has_false_balancer && balancer == 5)
    report.m_servers = {{FalseToken(), 6000, 0, 0}};
  return report;
}

void FleetModel::Exchange(std::uint32_t sender, std::uint32_t receiver) {
  LoadExchange& from = m_balancers[sender]->m_exchange;
  LoadExchange& to = m_balancers[receiver]->m_exchange;
  to.AcceptRequestLoad(
      m_balancers[sender]->m_address,
      from.MakeRequestLoad(ReportOf(sender), IsReader(sender), m_now),
      IsReader(receiver), m_now);
  from.AcceptResponseLoad(
      to.MakeResponseLoad(ReportOf(receiver), IsReader(receiver), m_now),
      m_now);
}

void FleetModel::Poll(std::uint32_t balancer) {
  if (m_settings.m_exchanges_load) {
    if (!IsReader(balancer))
      Exchange(balancer, balancer % m_settings.m_data_centres);
    else if (balancer != 0)
      Exchange(balancer, 0);
  }
  Schedule(milliseconds(IsReader(balancer) ? 1000 : 650),
           [this, balancer] { Poll(balancer); });
}

void FleetModel::Sweep(std::uint32_t balancer) {
  Balancer& own = *m_balancers[balancer];
  own.m_steering.Sweep(m_now);
  ReportOf(balancer);
  own.m_collector.Apply(own.m_exchange.fleet(), own.m_steering, m_now);
  for (std::uint32_t i = 1; i < m_settings.m_servers; ++i) {
    const auto* server = own.m_steering.directory().FindByName(
        steering::ServerName("i-" + std::to_string(i)));
    m_largest_share_of_sound =
        std::max(m_largest_share_of_sound,
                 server->m_shared_evidence.UnansweredShare(m_now));
  }
  Schedule(milliseconds(100), [this, balancer] { Sweep(balancer); });
}

void FleetModel::SendRequest() {
  const double gap_ms =
      2 * m_random.Unit() * 1000 / m_settings.m_requests_per_second;
  Schedule(std::chrono::duration_cast<base::Duration>(
               std::chrono::duration<double, std::milli>(gap_ms)),
           [this] { SendRequest(); });
  steering::Steering& steering =
      m_balancers[m_random.Below(m_balancers.size())]->m_steering;
  const auto port = static_cast<std::uint16_t>(1 + m_flow++ % 60'000);
  const auto opening = steering.Handle(steering::MakeOpening(port), m_now);
  const auto* server = steering::ServerOf(opening);
  if (server == nullptr)
    return;
  const auto token = steering::TokenOf(opening);
  const std::string& name = server->m_record.m_name.value();
  ++m_requests[name];
  const bool is_lost =
      name == "i-0" && m_random.Unit() < m_settings.m_lost_part;
  const int factor = m_random.Unit() < m_settings.m_long_part ? 7 : 1;
  const auto send = [this, &steering, port, token](
                        base::Duration delay, std::uint32_t sequence,
                        std::uint32_t acknowledgement, std::uint16_t bytes,
                        bool is_end) {
    Schedule(delay, [=, this, &steering] {
      auto packet =
          steering::MakeData(port, token, sequence, acknowledgement, bytes);
      packet.m_is_end = is_end;
      steering.Handle(packet, m_now);
    });
  };
  send(2 * kHalfRoundTrip, 1, 500, 80, false);
  if (is_lost) {
    ++m_lost;
    send(kTimeLimit, 81, 500, 0, true);
    return;
  }
  const auto answer_after =
      4 * kHalfRoundTrip + milliseconds(factor * m_settings.m_work_ms);
  send(answer_after, 81, 900, 0, false);
  send(answer_after + kHalfRoundTrip, 81, 900, 0, true);
}

}  // namespace load_exchange
