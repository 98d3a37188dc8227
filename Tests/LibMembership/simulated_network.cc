#include "LibMembership/simulated_network.h"

#include <algorithm>
#include <string>
#include <utility>

#include "LibPeer/codec.h"

namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(10);
constexpr std::size_t kDatagramOverheadBytes = 28;

}  // namespace

std::size_t SimulatedNetwork::Start(std::uint32_t address,
                                    const std::string& data_centre) {
  const base::Endpoint endpoint{base::Ipv4Address(address), 7'000};
  peer::MemberRecord self{base::BalancerId(m_random.Next()),
                          "balancer-" + std::to_string(address),
                          base::DataCentreId(data_centre),
                          {base::Ipv4Address(address), 6'000},
                          endpoint,
                          {base::Ipv4Address(address), 8'000},
                          peer::MemberState::kJoining,
                          ++m_incarnation,
                          {}};
  Node node;
  node.m_membership = std::make_unique<membership::Membership>(
      membership::Settings{}, std::move(self), m_now);
  node.m_endpoint = endpoint;
  m_nodes.push_back(std::move(node));
  m_by_endpoint[endpoint] = m_nodes.size() - 1;
  return m_nodes.size() - 1;
}

std::vector<membership::VmEntry> SimulatedNetwork::MakeVmList() const {
  std::vector<membership::VmEntry> list;
  for (const Node& node : m_nodes) {
    const peer::MemberRecord& self = node.m_membership->Self();
    if (node.m_is_running)
      list.push_back({self.m_name, self.m_data_centre,
                      membership::VmState::kLive, self.m_traffic, self.m_peer,
                      self.m_admin});
  }
  return list;
}

void SimulatedNetwork::SendVmList(
    const std::vector<membership::VmEntry>& list) {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (m_nodes[index].m_is_running)
      Perform(index, m_nodes[index].m_membership->ReceiveVmList(list, m_now));
  }
}

bool SimulatedNetwork::HasConverged() const {
  for (const Node& node : m_nodes) {
    if (!node.m_is_running || node.m_is_frozen)
      continue;
    std::vector<base::BalancerId> expected;
    for (const Node& other : m_nodes) {
      const peer::MemberRecord& self = other.m_membership->Self();
      const bool is_here =
          self.m_data_centre == node.m_membership->Self().m_data_centre;
      if (other.m_is_running && !other.m_is_frozen && is_here &&
          other.m_side == node.m_side &&
          self.m_state == peer::MemberState::kServing)
        expected.push_back(self.m_id);
    }
    std::sort(expected.begin(), expected.end());
    const auto& live = node.m_membership->LiveMembers();
    if (!std::equal(live.begin(), live.end(), expected.begin(), expected.end(),
                    [](const auto& member, base::BalancerId id) {
                      return member.m_id == id;
                    }))
      return false;
  }
  return true;
}

std::size_t SimulatedNetwork::GoneEffects() const {
  std::size_t gone = 0;
  for (const Node& node : m_nodes)
    gone += node.m_gone_effects;
  return gone;
}

void SimulatedNetwork::Run(base::Duration duration) {
  RunUntil([] { return false; }, duration);
}

base::Duration SimulatedNetwork::RunUntil(
    const std::function<bool()>& condition,
    base::Duration limit) {
  const base::TimePoint begin = m_now;
  while (m_now - begin < limit && !condition())
    Step();
  return m_now - begin;
}

void SimulatedNetwork::Step() {
  m_now += kStep;
  while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now)
    Deliver(m_in_flight.extract(m_in_flight.begin()).mapped());
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    Node& node = m_nodes[index];
    if (!node.m_is_running || node.m_is_frozen)
      continue;
    for (const Datagram& datagram : std::exchange(node.m_buffered, {}))
      Deliver(datagram);
    Perform(index, node.m_membership->Advance(m_now, m_random));
  }
}

void SimulatedNetwork::Deliver(const Datagram& datagram) {
  const auto found = m_by_endpoint.find(datagram.m_to);
  if (found == m_by_endpoint.end())
    return;
  Node& node = m_nodes[found->second];
  const Node& from = m_nodes[datagram.m_from];
  if (!node.m_is_running || node.m_side != from.m_side)
    return;
  if (node.m_is_frozen) {
    node.m_buffered.push_back(datagram);
    return;
  }
  const auto message =
      peer::Decode(peer::Transport::kDatagram, datagram.m_bytes);
  Perform(found->second, node.m_membership->ReceiveMessage(
                             from.m_endpoint, message.value(), m_now));
}

void SimulatedNetwork::Perform(std::size_t from,
                               const membership::Effects& effects) {
  for (const membership::Effect& effect : effects) {
    m_nodes[from].m_gone_effects +=
        std::holds_alternative<membership::MemberGone>(effect);
    m_nodes[from].m_pauses +=
        std::holds_alternative<membership::Paused>(effect);
    const auto* send = std::get_if<membership::SendMessage>(&effect);
    if (!send)
      continue;
    std::string bytes =
        peer::Encode(peer::Transport::kDatagram, send->m_message).value();
    m_bytes_sent += bytes.size() + kDatagramOverheadBytes;
    if (m_random.Unit() < m_loss)
      continue;
    const double share = m_random.Unit();
    const auto delay =
        m_delay + std::chrono::duration_cast<base::Duration>(m_jitter * share);
    m_in_flight.emplace(m_now + delay,
                        Datagram{from, send->m_to, std::move(bytes)});
  }
}
