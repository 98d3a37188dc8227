// Simulates a network of Membership instances in one thread on simulated time,
// with seeded packet loss, delay, partitions, paused processes and kills.

#ifndef TESTS_LIBMEMBERSHIP_SIMULATED_NETWORK_H_
#define TESTS_LIBMEMBERSHIP_SIMULATED_NETWORK_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibMembership/membership.h"
#include "LibMembership/vm_entry.h"
#include "LibPeer/codec.h"

class SimulatedNetwork {
 public:
  struct Datagram {
    std::size_t m_from;
    base::Endpoint m_to;
    std::string m_bytes;
  };
  struct Node {
    std::unique_ptr<membership::Membership> m_membership;
    bool m_is_running = true;
    bool m_is_paused = false;
    int m_partition = 0;
    std::size_t m_removed_effects = 0;
    std::size_t m_pauses = 0;
    // The datagrams in the socket buffer of a paused process.
    std::vector<Datagram> m_buffered;
  };

  explicit SimulatedNetwork(std::uint64_t seed) : m_random(seed) {}

  base::TimePoint Now() const { return m_now; }
  Node& At(std::size_t index) { return m_nodes[index]; }
  std::size_t Size() const { return m_nodes.size(); }

  std::size_t RemovedEffects() const {
    std::size_t removed = 0;
    for (const Node& node : m_nodes)
      removed += node.m_removed_effects;
    return removed;
  }

  // Whether LiveMembers of each active node contains exactly the active serving
  // nodes of its partition. Active nodes run and are not paused.
  bool HasConverged() const {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node& node) {
      std::vector<membership::SnapshotMember> live;
      for (const Node& other : m_nodes) {
        const peer::MemberRecord& self = other.m_membership->Self();
        if (IsActive(other) && other.m_partition == node.m_partition &&
            self.m_state == peer::MemberState::kServing)
          live.push_back({self.m_id, self.m_traffic});
      }
      std::sort(live.begin(), live.end());
      return !IsActive(node) || node.m_membership->LiveMembers() == live;
    });
  }

  // Starts a node and returns its index. A node with the address of an earlier
  // node is a new run on the same VM.
  std::size_t Start(std::uint32_t address, const std::string& zone = "north") {
    const base::Ipv4Address ip(address);
    const base::BalancerId id(m_random.Next());
    const peer::MemberRecord self{
        id,          "entry-vm",  base::DataCentreId(zone),
        {ip, 6'000}, {ip, 7'000}, {ip, 8'000},
        {},          ++m_starts,  {}};
    m_nodes.emplace_back().m_membership =
        std::make_unique<membership::Membership>(membership::Settings{}, self,
                                                 m_now);
    m_by_endpoint[self.m_peer] = m_nodes.size() - 1;
    return m_nodes.size() - 1;
  }

  std::vector<membership::VmEntry> MakeVmList() const {
    std::vector<membership::VmEntry> list;
    for (const Node& node : m_nodes) {
      const auto& self = node.m_membership->Self();
      if (node.m_is_running)
        list.push_back({self.m_name, self.m_data_centre,
                        membership::VmState::kLive, self.m_traffic, self.m_peer,
                        self.m_admin});
    }
    return list;
  }

  void SendVmList(const std::vector<membership::VmEntry>& list) {
    for (std::size_t at = 0; at < m_nodes.size(); ++at)
      ApplyEffects(at, m_nodes[at].m_membership->ReceiveVmList(list, m_now));
  }

  void Run(base::Duration duration) {
    RunUntil([] { return false; }, duration);
  }

  // Runs until `condition` holds or `limit` has passed. Returns the elapsed
  // time.
  template <typename Condition>
  base::Duration RunUntil(Condition condition, base::Duration limit) {
    const base::TimePoint begin = m_now;
    while (m_now - begin < limit && !condition())
      Step();
    return m_now - begin;
  }

  double m_loss = 0;
  base::Duration m_jitter{};

 private:
  static bool IsActive(const Node& node) {
    return node.m_is_running && !node.m_is_paused;
  }

  void Step() {
    m_now += std::chrono::milliseconds(10);
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now)
      Deliver(m_in_flight.extract(m_in_flight.begin()).mapped());
    for (std::size_t at = 0; at < m_nodes.size(); ++at) {
      if (!IsActive(m_nodes[at]))
        continue;
      for (const auto& datagram : std::exchange(m_nodes[at].m_buffered, {}))
        Deliver(datagram);
      ApplyEffects(at, m_nodes[at].m_membership->Advance(m_now, m_random));
    }
  }

  void Deliver(const Datagram& datagram) {
    const auto found = m_by_endpoint.find(datagram.m_to);
    const Node& from = m_nodes[datagram.m_from];
    if (found == m_by_endpoint.end() || !m_nodes[found->second].m_is_running ||
        m_nodes[found->second].m_partition != from.m_partition)
      return;
    Node& to = m_nodes[found->second];
    if (to.m_is_paused) {
      to.m_buffered.push_back(datagram);
      return;
    }
    const auto message =
        peer::Decode(peer::Transport::kDatagram, datagram.m_bytes);
    ApplyEffects(found->second,
                 to.m_membership->ReceiveMessage(
                     from.m_membership->Self().m_peer, message.value(), m_now));
  }

  void ApplyEffects(std::size_t from, const membership::Effects& effects) {
    Node& node = m_nodes[from];
    for (const membership::Effect& effect : effects) {
      node.m_removed_effects +=
          std::holds_alternative<membership::MemberRemoved>(effect);
      node.m_pauses +=
          std::holds_alternative<membership::PauseDetected>(effect);
      const auto* send = std::get_if<membership::SendMessage>(&effect);
      if (!send || m_random.Unit() < m_loss)
        continue;
      const auto jitter = std::chrono::duration_cast<base::Duration>(
          m_jitter * m_random.Unit());
      const auto bytes =
          peer::Encode(peer::Transport::kDatagram, send->m_message);
      m_in_flight.emplace(m_now + std::chrono::milliseconds(1) + jitter,
                          Datagram{from, send->m_to, bytes.value()});
    }
  }

  base::TimePoint m_now{std::chrono::hours(1)};
  base::Random m_random;
  std::vector<Node> m_nodes;
  std::map<base::Endpoint, std::size_t> m_by_endpoint;
  std::multimap<base::TimePoint, Datagram> m_in_flight;
  std::uint64_t m_starts = 0;
};

#endif  // TESTS_LIBMEMBERSHIP_SIMULATED_NETWORK_H_
