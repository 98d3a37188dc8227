#include "LibFlow/silence_simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kStep = milliseconds(100);
constexpr auto kFirstTimeout = milliseconds(200);
constexpr std::uint32_t kPayloadBytes = 100;
// Sizes of messages on the wire.
constexpr double kHeaderBytes = 84;
constexpr double kRequestedBytes = 13;
constexpr double kReportedBytes = 4;

base::BalancerId IdOf(std::size_t balancer) {
  return base::BalancerId(balancer + 1);
}

double HalfPathLoss(const PathConditions& path) {
  return 1 - std::sqrt(1 - path.m_loss);
}

flow::FlowKey KeyOf(std::uint32_t number) {
  return {{base::Ipv4Address(number), 1000}, {base::Ipv4Address(9), 443}};
}

}  // namespace

SilenceSimulation::SilenceSimulation(std::size_t balancers,
                                     std::uint64_t seed,
                                     const flow::SilenceSettings& settings)
    : m_random(seed),
      m_detectors(balancers, flow::SilenceDetector(settings, m_now)),
      m_paused(balancers),
      m_bytes(balancers) {}

double SilenceSimulation::MaximumBytesSent() const {
  return *std::max_element(m_bytes.begin(), m_bytes.end());
}

void SilenceSimulation::AddFlow(std::uint32_t number,
                                const PathConditions& path) {
  m_flows.push_back({number, path, 1000, m_now, kFirstTimeout});
}

void SilenceSimulation::SetPaused(std::size_t balancer, bool is_paused) {
  m_paused[balancer] = is_paused;
}

void SilenceSimulation::Run(base::Duration duration) {
  const base::TimePoint end = m_now + duration;
  while (m_now < end)
    Step();
}

void SilenceSimulation::Step() {
  m_now += kStep;
  for (Flow& flow : m_flows) {
    if (flow.m_next_send <= m_now)
      Send(flow);
  }
  for (std::size_t balancer = 0; balancer < m_detectors.size(); ++balancer) {
    if (!m_paused[balancer])
      Advance(balancer);
  }
}

flow::SilenceDetector* SilenceSimulation::SendThroughFabric(
    const PathConditions& path) {
  const std::size_t balancer = m_random.Below(m_detectors.size());
  if (IsLost(HalfPathLoss(path)) || m_paused[balancer])
    return nullptr;
  return &m_detectors[balancer];
}

flow::StreamPacket SilenceSimulation::MakePacket(const Flow& flow,
                                                 flow::StreamEnd sender) const {
  flow::StreamPacket packet;
  packet.m_key = KeyOf(flow.m_number);
  packet.m_hash = HashFlow(packet.m_key);
  packet.m_sender = sender;
  return packet;
}

void SilenceSimulation::Send(Flow& flow) {
  flow.m_next_send = m_now + flow.m_timeout;
  flow.m_timeout = std::min(2 * flow.m_timeout, flow.m_path.m_greatest_timeout);
  flow::StreamPacket packet = MakePacket(flow, flow::StreamEnd::kServer);
  packet.m_position = flow.m_position;
  packet.m_payload_bytes = kPayloadBytes;
  flow::SilenceDetector* balancer = SendThroughFabric(flow.m_path);
  if (balancer == nullptr)
    return;
  balancer->Observe(packet, m_now);
  if (!flow.m_path.m_is_silent && !IsLost(HalfPathLoss(flow.m_path)))
    Acknowledge(flow);
}

void SilenceSimulation::Acknowledge(Flow& flow) {
  flow::StreamPacket packet = MakePacket(flow, flow::StreamEnd::kCaller);
  packet.m_is_window_closed = flow.m_path.m_is_window_closed;
  packet.m_acknowledged =
      flow.m_position + (packet.m_is_window_closed ? 0 : kPayloadBytes);
  flow::SilenceDetector* balancer = SendThroughFabric(flow.m_path);
  if (balancer == nullptr)
    return;
  balancer->Observe(packet, m_now);
  if (IsLost(HalfPathLoss(flow.m_path)) || packet.m_is_window_closed)
    return;
  flow.m_position += kPayloadBytes;
  flow.m_timeout = kFirstTimeout;
  flow.m_next_send = m_now;
}

void SilenceSimulation::Advance(std::size_t balancer) {
  std::vector<base::BalancerId> peers;
  for (std::size_t other = 0; other < m_detectors.size(); ++other) {
    if (other != balancer)
      peers.push_back(IdOf(other));
  }
  const flow::SilenceActions actions =
      m_detectors[balancer].Advance(m_now, peers);
  Deliver(balancer, actions);
  for (const flow::SilentFlow& silent : actions.m_silent) {
    ++m_silent[silent.m_repetition.m_key.m_caller.m_address.value()];
    m_last_silent = m_now;
    std::erase_if(m_flows, [&silent](const Flow& flow) {
      return KeyOf(flow.m_number) == silent.m_repetition.m_key;
    });
  }
}

void SilenceSimulation::Deliver(std::size_t from,
                                const flow::SilenceActions& actions) {
  if (actions.m_request) {
    const auto streams =
        static_cast<double>(actions.m_request->m_streams.size());
    for (std::size_t to = 0; to < m_detectors.size(); ++to) {
      if (to == from)
        continue;
      m_bytes[from] += kHeaderBytes + kRequestedBytes * streams;
      if (!m_paused[to] && !IsLost(m_message_loss))
        m_detectors[to].HandleRequest(IdOf(from), *actions.m_request, m_now);
    }
  }
  for (const flow::AddressedReply& reply : actions.m_replies) {
    const auto streams = static_cast<double>(reply.m_reply.m_reports.size());
    m_bytes[from] += kHeaderBytes + kReportedBytes * streams;
    const std::size_t to = reply.m_to.value() - 1;
    if (!m_paused[to] && !IsLost(m_message_loss))
      m_detectors[to].HandleReply(IdOf(from), reply.m_reply);
  }
}

}  // namespace testing
