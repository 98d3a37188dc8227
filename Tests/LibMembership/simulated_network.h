// Several Membership values in one thread on simulated time, with seeded loss,
// delay, cuts, freezes and kills.

#ifndef TESTS_LIBMEMBERSHIP_SIMULATED_NETWORK_H_
#define TESTS_LIBMEMBERSHIP_SIMULATED_NETWORK_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibMembership/membership.h"
#include "LibMembership/vm_entry.h"

class SimulatedNetwork {
 public:
  struct Datagram {
    std::size_t m_from;
    base::Endpoint m_to;
    std::string m_bytes;
  };

  struct Node {
    std::unique_ptr<membership::Membership> m_membership;
    base::Endpoint m_endpoint;
    bool m_is_running = true;
    bool m_is_frozen = false;
    int m_side = 0;
    std::size_t m_gone_effects = 0;
    std::size_t m_pauses = 0;
    // What waits in the socket's buffer of a frozen process.
    std::vector<Datagram> m_buffered;
  };

  explicit SimulatedNetwork(std::uint64_t seed) : m_random(seed) {}

  // Queries.
  base::TimePoint Now() const { return m_now; }
  Node& At(std::size_t index) { return m_nodes[index]; }
  std::size_t Size() const { return m_nodes.size(); }
  // Whether each running node has just the running ones in LiveMembers; with
  // sides, those of its own side.
  bool HasConverged() const;
  std::size_t GoneEffects() const;
  std::size_t BytesSent() const { return m_bytes_sent; }

  // Commands.
  // Starts a node; an address given again restarts that VM.
  std::size_t Start(std::uint32_t address,
                    const std::string& data_centre = "north");
  void SendVmList(const std::vector<membership::VmEntry>& list);
  std::vector<membership::VmEntry> MakeVmList() const;
  void Run(base::Duration duration);
  // Runs until `condition` holds or `limit` has passed; returns the time taken.
  base::Duration RunUntil(const std::function<bool()>& condition,
                          base::Duration limit);

  double m_loss = 0;
  base::Duration m_delay = std::chrono::milliseconds(1);
  base::Duration m_jitter{};

 private:
  void Step();
  void Deliver(const Datagram& datagram);
  void Perform(std::size_t from, const membership::Effects& effects);
  bool IsReachable(const Node& from, const Node& to) const;

  base::TimePoint m_now{std::chrono::hours(1)};
  base::Random m_random;
  std::vector<Node> m_nodes;
  std::map<base::Endpoint, std::size_t> m_by_endpoint;
  std::multimap<base::TimePoint, Datagram> m_in_flight;
  std::uint64_t m_incarnation = 1'000;
  std::size_t m_bytes_sent = 0;
};

#endif  // TESTS_LIBMEMBERSHIP_SIMULATED_NETWORK_H_
