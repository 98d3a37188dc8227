// Simulates the ConfigurationWatchers of one data centre in virtual time, with
// a platform and a network that may fail.

#ifndef TESTS_LIBPLATFORM_WATCHER_SIMULATION_H_
#define TESTS_LIBPLATFORM_WATCHER_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "LibPlatform/configuration_watcher.h"

// The sets contain indices of watchers.
struct SimulationFaults {
  // Applies to messages between peers.
  std::uint64_t m_message_loss_percent = 0;
  // The platform returns the document as it was this time ago.
  base::Duration m_read_lag{};
  bool m_platform_is_down = false;
  std::set<std::size_t> m_partitioned_from_platform;
  // A paused watcher handles its pending events when the pause ends.
  std::set<std::size_t> m_paused;
  std::set<std::size_t> m_dead;
};

class WatcherSimulation {
 public:
  WatcherSimulation(std::size_t watcher_count, std::uint64_t seed);

  // Queries.
  bool AllHaveLatestVersion() const;
  // True while no watcher has put an older or a wrong document in force or has
  // recorded a confirmation later than the platform's last confirmation of the
  // version.
  bool InvariantsHold() const { return m_invariants_hold; }
  // The number of reads that the watchers have sent to the platform.
  std::size_t PlatformReads() const { return m_platform_reads; }
  // The indices of the watchers that watch the document on the platform.
  std::vector<std::size_t> PlatformWatchers() const;
  const platform::ConfigurationWatcher& Watcher(std::size_t index) const {
    return m_nodes[index].m_watcher;
  }
  base::TimePoint Now() const { return m_now; }

  // Commands.
  // Writes a new version of the document.
  void Write();
  // Advances the virtual time by `duration`.
  void RunFor(base::Duration duration);
  void SetFaults(SimulationFaults faults);
  // Reports the live peers to every live watcher.
  void AnnounceLivePeers();

 private:
  struct Node {
    platform::ConfigurationWatcher m_watcher;
    // The pending events of a paused watcher.
    std::vector<platform::WatcherEvent> m_inbox;
    // The document in force and its version.
    platform::DocumentBody m_body;
    base::ConfigurationVersion m_version;
  };
  using Action = std::function<void()>;

  void Schedule(base::Duration delay, Action action);
  base::Duration NetworkDelay();
  bool IsLost();
  bool IsUnresponsive(std::size_t index) const;
  void Deliver(std::size_t index, const platform::WatcherEvent& event);
  void Apply(std::size_t index, const platform::WatcherEffect& effect);
  void Adopt(std::size_t index, const platform::AdoptDocument& document);
  void PollPlatform(std::size_t index,
                    const platform::ReadFromPlatform& read,
                    base::TimePoint deadline);
  void Pull(std::size_t index, const platform::PullFromPeer& pull);
  void Gossip(std::size_t index);
  void SendDigest(std::size_t index, std::size_t peer);
  void ReplyWithDigest(std::size_t from,
                       std::size_t to,
                       base::TimePoint requested_at);
  void CheckConfirmation(std::size_t index);
  base::ConfigurationVersion VisibleVersion() const;

  base::Random m_random;
  base::TimePoint m_now = base::TimePoint() + std::chrono::hours(1);
  SimulationFaults m_faults;
  std::vector<Node> m_nodes;
  std::multimap<base::TimePoint, Action> m_queue;
  // The versions and the times at which they were written.
  std::vector<std::pair<base::TimePoint, base::ConfigurationVersion>>
      m_versions;
  // The last time at which the platform confirmed each version as the newest.
  std::map<base::ConfigurationVersion, base::TimePoint> m_served_at;
  std::size_t m_platform_reads = 0;
  bool m_invariants_hold = true;
};

#endif  // TESTS_LIBPLATFORM_WATCHER_SIMULATION_H_
