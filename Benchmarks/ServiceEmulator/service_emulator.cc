#include "ServiceEmulator/service_emulator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "LibBase/hash.h"
#include "LibMembership/short_server_id.h"
#include "LibPeer/codec.h"
#include "LibPeer/message.h"

namespace service_emulator {

namespace {

using std::chrono::duration_cast;

constexpr base::Duration kTick = std::chrono::milliseconds(100);
// Age of a flow at which its exception is shared with other balancers.
constexpr base::Duration kExceptionSharingAge = std::chrono::seconds(3);
constexpr base::Duration kRemovalDelay = std::chrono::seconds(30);
constexpr int kServersReplacedTogether = 2;
// Time between attempts to publish changes that the publisher's budget delays.
constexpr base::Duration kPublishRetryPeriod = std::chrono::milliseconds(20);
constexpr std::uint64_t kIpAndUdpHeaderBytes = 28;
constexpr base::TimePoint kEpoch{std::chrono::hours(1)};

base::Duration Exponential(base::Random& random, base::Duration mean) {
  return duration_cast<base::Duration>(mean * -std::log1p(-random.Unit()));
}

}  // namespace

ServiceEmulator::ServiceEmulator(const EmulatorSettings& settings)
    : m_settings(settings),
      m_now(kEpoch),
      m_measurement_start(kEpoch + m_settings.m_warm_up),
      m_measurement_end(m_measurement_start + m_settings.m_measured),
      m_workload(m_settings.m_seed),
      m_random(base::CombineHashes(m_settings.m_seed, 1)) {
  m_profile.m_id = base::MakeServiceId("emulated");
  m_profile.m_placement = {m_settings.m_load, m_settings.m_policy};
  m_profile.m_admission = m_settings.m_admission;
  for (std::uint32_t server = 0; server < m_settings.m_servers; ++server)
    AddServer();
  AddBalancers();
  FindServer(m_active_servers.front())
      ->SetMisbehaviour(m_settings.m_misbehaviour);
}

EmulatorResults ServiceEmulator::Run() {
  ScheduleArrival(m_now);
  ScheduleReports();
  ScheduleFaults();
  ScheduleSamples();
  while (const auto deadline = m_timers.NextDeadline()) {
    if (*deadline > m_measurement_end)
      break;
    m_now = *deadline;
    m_timers.Advance(m_now);
  }
  const double seconds =
      std::chrono::duration<double>(m_settings.m_measured).count();
  m_results.m_balancers = m_settings.m_balancers;
  m_results.m_measured_seconds = seconds;
  m_results.m_possible_work =
      seconds * m_settings.m_servers * m_settings.m_slots;
  return std::move(m_results);
}

void ServiceEmulator::AddBalancers() {
  for (std::uint32_t number = 0; number < m_settings.m_balancers; ++number) {
    m_publications.push_back(Publication{
        {},
        membership::LoadPublisher(m_now, m_settings.m_load_publisher),
        false});
  }
  for (std::uint32_t number = 0; number < m_settings.m_balancers; ++number) {
    EmulatedBalancer::Callbacks callbacks;
    callbacks.m_offer = [this, number](const FlowPointer& flow,
                                       base::BackendServerId server) {
      OnCountChanged(number, m_now);
      ++m_results.m_sent_since_start;
      m_results.m_sent += IsMeasured() ? 1 : 0;
      return FindServer(server)->Offer(flow, m_now);
    };
    if (m_settings.m_load_information == LoadInformation::kPerfect) {
      callbacks.m_choose_by_true_load = [this](const EmulatedFlow& flow) {
        return ChooseByTrueLoad(flow);
      };
    }
    callbacks.m_on_placed = [this](const FlowPointer& flow,
                                   base::BackendServerId server) {
      OnPlaced(flow, server);
    };
    callbacks.m_on_refused = [this](const FlowPointer& flow) {
      OnRefused(flow);
    };
    m_balancers.push_back(std::make_unique<EmulatedBalancer>(
        m_profile, m_random.Next(), std::move(callbacks), m_now));
  }
}

EmulatedServer& ServiceEmulator::AddServer() {
  const base::BackendServerId id(base::MixBits(++m_next_server));
  auto server = std::make_unique<EmulatedServer>(
      m_settings, id, m_timers,
      [this](const FlowPointer& flow, base::BackendServerId from,
             base::TimePoint at) { OnCompleted(flow, from, at); });
  m_active_servers.push_back(id);
  m_profile.m_servers.push_back({id, m_settings.m_slots});
  return *m_servers.emplace(id, std::move(server)).first->second;
}

void ServiceEmulator::ScheduleArrival(base::TimePoint now) {
  const double slots = m_settings.m_servers * m_settings.m_slots;
  const auto interval = duration_cast<base::Duration>(
      m_settings.m_mean_service_time * (1.0 - m_settings.m_feed_share) /
      (slots * OfferedLoad()));
  m_timers.SubscribeOnce(now + Exponential(m_workload, interval),
                         [this](base::TimePoint at) {
                           OpenNewFlow(at);
                           ScheduleArrival(at);
                         });
}

void ServiceEmulator::ScheduleReports() {
  for (const auto& owned : m_balancers) {
    EmulatedBalancer* balancer = owned.get();
    const auto phase = duration_cast<base::Duration>(
        m_settings.m_report_period * m_random.Unit());
    m_timers.SubscribeEvery(m_now + phase, m_settings.m_report_period,
                            [this, balancer](base::TimePoint now) {
                              for (const auto& [id, server] : m_servers)
                                balancer->Apply(server->Report(now), now);
                            });
    m_timers.SubscribeEvery(
        m_now + kTick, kTick,
        [balancer](base::TimePoint now) { balancer->Advance(now); });
  }
}

void ServiceEmulator::OnCountChanged(std::uint32_t balancer,
                                     base::TimePoint now) {
  Publication& publication = m_publications[balancer];
  if (m_settings.m_load_information != LoadInformation::kPeerCounts ||
      publication.m_is_pending)
    return;
  publication.m_is_pending = true;
  // Delayed so that changes at the same time are published in one message.
  m_timers.SubscribeOnce(
      now + std::chrono::microseconds(1),
      [this, balancer](base::TimePoint due) { PublishCounts(balancer, due); });
}

void ServiceEmulator::PublishCounts(std::uint32_t balancer,
                                    base::TimePoint now) {
  Publication& publication = m_publications[balancer];
  for (const auto& [id, server] : m_servers) {
    const std::int64_t open = m_balancers[balancer]->View().OwnOpenFlows(id);
    publication.m_publisher.SetOpenFlows(
        id, static_cast<std::uint64_t>(std::max<std::int64_t>(0, open)));
  }
  const std::size_t peers = m_balancers.size() - 1;
  const auto digest = publication.m_publisher.Next(peers, now);
  publication.m_is_pending = publication.m_publisher.HasChanges();
  if (publication.m_is_pending) {
    m_timers.SubscribeOnce(now + kPublishRetryPeriod,
                           [this, balancer](base::TimePoint due) {
                             PublishCounts(balancer, due);
                           });
  }
  if (!digest)
    return;
  for (const peer::LoadEntry& entry : digest->m_entries)
    publication.m_counts[entry.m_server] = entry.m_open_flows;
  const auto frame =
      peer::Encode(peer::Transport::kDatagram, {{}, *digest, {}});
  const std::uint64_t bytes =
      peers * (frame.value().size() + kIpAndUdpHeaderBytes);
  m_results.m_peer_bytes += IsMeasured() ? bytes : 0;
  m_timers.SubscribeOnce(
      now + m_settings.m_peer_delay, [this, balancer](base::TimePoint due) {
        for (std::uint32_t peer = 0; peer < m_balancers.size(); ++peer) {
          if (peer != balancer)
            ReceiveCounts(peer, due);
        }
      });
}

void ServiceEmulator::ReceiveCounts(std::uint32_t balancer,
                                    base::TimePoint now) {
  std::vector<placement::OpenFlowCount> counts;
  for (const auto& [id, server] : m_servers) {
    std::int64_t sum = 0;
    for (std::uint32_t peer = 0; peer < m_balancers.size(); ++peer)
      sum += peer == balancer
                 ? 0
                 : m_publications[peer].m_counts[membership::ShortServerId(id)];
    counts.push_back({id, static_cast<std::int32_t>(sum)});
  }
  m_balancers[balancer]->Apply(
      placement::PeerOpenFlowCounts{counts, m_settings.m_balancers - 1}, now);
}

void ServiceEmulator::ScheduleFaults() {
  if (m_settings.m_replacement_period) {
    m_timers.SubscribeEvery(
        m_measurement_start, *m_settings.m_replacement_period,
        [this](base::TimePoint now) { ReplaceServers(now); });
  }
  if (m_settings.m_refusal_period) {
    const base::Duration period = *m_settings.m_refusal_period;
    EmulatedServer* server = FindServer(m_active_servers.front());
    m_timers.SubscribeEvery(
        m_measurement_start, period,
        [server](base::TimePoint) { server->SetRefusing(true); });
    m_timers.SubscribeEvery(
        m_measurement_start + period / 3, period,
        [server](base::TimePoint) { server->SetRefusing(false); });
  }
}

void ServiceEmulator::ReplaceServers(base::TimePoint now) {
  for (int replaced = 0; replaced < kServersReplacedTogether; ++replaced) {
    const base::BackendServerId leaving = m_active_servers.front();
    m_active_servers.erase(m_active_servers.begin());
    std::ranges::find(m_profile.m_servers, leaving,
                      &balancer::ServerProfile::m_id)
        ->m_is_draining = true;
    m_timers.SubscribeOnce(
        now + kRemovalDelay, [this, leaving](base::TimePoint at) {
          std::erase_if(m_profile.m_servers, [leaving](const auto& server) {
            return server.m_id == leaving;
          });
          UpdateBalancers(at);
        });
    AddServer().StartCold(now);
  }
  UpdateBalancers(now);
}

void ServiceEmulator::ScheduleSamples() {
  m_timers.SubscribeEvery(m_measurement_start, kTick,
                          [this](base::TimePoint) { Sample(); });
}

void ServiceEmulator::Sample() {
  double highest = 0.0;
  double sum = 0.0;
  for (const base::BackendServerId id : m_active_servers) {
    const double load = FindServer(id)->Utilisation();
    highest = std::max(highest, load);
    sum += load;
  }
  if (sum == 0.0)
    return;
  m_results.m_imbalance_sum +=
      highest * static_cast<double>(m_active_servers.size()) / sum;
  ++m_results.m_imbalance_samples;
}

void ServiceEmulator::OpenNewFlow(base::TimePoint now) {
  auto flow = std::make_shared<EmulatedFlow>();
  flow->m_key = m_workload.Next();
  flow->m_home =
      static_cast<std::uint32_t>(m_workload.Below(m_balancers.size()));
  flow->m_is_feed = m_workload.Unit() < m_settings.m_feed_share;
  flow->m_service_time =
      Exponential(m_workload, flow->m_is_feed ? m_settings.m_mean_feed_time
                                              : m_settings.m_mean_service_time);
  flow->m_caller_retries_left = m_settings.m_caller_retries;
  Open(flow, now);
}

void ServiceEmulator::Open(const FlowPointer& flow, base::TimePoint now) {
  ++m_results.m_received_since_start;
  m_results.m_received += IsMeasured() ? 1 : 0;
  flow->m_opened_at = now;
  flow->m_order = RendezvousOrder(flow->m_key);
  m_timers.SubscribeOnce(
      now + m_settings.m_caller_timeout,
      [this, flow](base::TimePoint) { OnCallerTimeout(flow); });
  m_balancers[flow->m_home]->Open(flow, now);
}

void ServiceEmulator::OnPlaced(const FlowPointer& flow,
                               base::BackendServerId server) {
  if (!IsMeasured())
    return;
  ++m_results.m_placed;
  m_results.m_exceptions += server == flow->m_order.front() ? 0 : 1;
}

void ServiceEmulator::OnRefused(const FlowPointer& flow) {
  m_results.m_refused += IsMeasured() ? 1 : 0;
  // The flow has ended. Marking it as started disables its caller timeout.
  flow->m_has_started = true;
  RetryLater(*flow);
}

void ServiceEmulator::OnCallerTimeout(const FlowPointer& flow) {
  if (flow->m_has_started)
    return;
  flow->m_is_abandoned = true;
  RetryLater(*flow);
}

void ServiceEmulator::RetryLater(const EmulatedFlow& flow) {
  if (flow.m_caller_retries_left == 0)
    return;
  auto retry = std::make_shared<EmulatedFlow>(flow);
  retry->m_has_started = false;
  retry->m_is_abandoned = false;
  --retry->m_caller_retries_left;
  m_timers.SubscribeOnce(
      m_now + Exponential(m_random, m_settings.m_caller_retry_wait),
      [this, retry](base::TimePoint at) { Open(retry, at); });
}

void ServiceEmulator::OnCompleted(const FlowPointer& flow,
                                  base::BackendServerId server,
                                  base::TimePoint now) {
  const auto last_packet_balancer =
      static_cast<std::uint32_t>(m_random.Below(m_balancers.size()));
  if (m_settings.m_load_information != LoadInformation::kReportsOnly) {
    // Balancers that publish their counts relay the end of a flow to its home.
    const bool is_relayed =
        m_settings.m_load_information == LoadInformation::kPeerCounts;
    const std::uint32_t counting_balancer =
        is_relayed ? flow->m_home : last_packet_balancer;
    m_balancers[counting_balancer]->Apply(placement::FlowEnded{server}, now);
    OnCountChanged(counting_balancer, now);
  }
  const base::Duration delay = now - flow->m_opened_at;
  // `delay` is not the answer delay of a feed, whose first byte precedes its
  // end.
  if (last_packet_balancer == flow->m_home && !flow->m_is_feed)
    m_balancers[last_packet_balancer]->RecordAnswer(server, delay, now);
  if (!IsMeasured() || flow->m_is_feed)
    return;
  if (!flow->m_is_abandoned) {
    m_results.m_useful_work +=
        std::chrono::duration<double>(flow->m_service_time).count();
  }
  if (flow->m_opened_at < m_measurement_start)
    return;
  const base::Duration wait = flow->m_started_at - flow->m_opened_at;
  m_results.m_waits.push_back(std::chrono::duration<double>(wait).count());
  if (server != flow->m_order.front() && delay >= kExceptionSharingAge)
    ++m_results.m_long_exceptions;
}

bool ServiceEmulator::IsMeasured() const {
  return m_now >= m_measurement_start && m_now <= m_measurement_end;
}

double ServiceEmulator::OfferedLoad() const {
  const bool is_overloaded =
      m_settings.m_overload_utilisation && m_now >= m_measurement_start &&
      m_now < m_measurement_start + m_settings.m_overload_time;
  return is_overloaded ? *m_settings.m_overload_utilisation
                       : m_settings.m_utilisation;
}

EmulatedServer* ServiceEmulator::FindServer(base::BackendServerId server) {
  return m_servers.at(server).get();
}

std::vector<base::BackendServerId> ServiceEmulator::RendezvousOrder(
    std::uint64_t key) const {
  std::vector<base::BackendServerId> order = m_active_servers;
  const auto weight = [key](base::BackendServerId id) {
    return base::CombineHashes(key, id.value());
  };
  std::ranges::sort(order, std::ranges::greater{}, weight);
  return order;
}

base::BackendServerId ServiceEmulator::ChooseByTrueLoad(
    const EmulatedFlow& flow) {
  const auto load = [this](base::BackendServerId id) {
    return FindServer(id)->Utilisation();
  };
  return *std::ranges::min_element(flow.m_order, {}, load);
}

void ServiceEmulator::UpdateBalancers(base::TimePoint now) {
  for (const auto& balancer : m_balancers)
    balancer->Update(m_profile, now);
}

}  // namespace service_emulator
