// Followers of one data centre with a platform and a network that may fail,
// in virtual time.

#ifndef TESTS_LIBPLATFORM_FOLLOWER_WORLD_H_
#define TESTS_LIBPLATFORM_FOLLOWER_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "LibPlatform/configuration_follower.h"

struct WorldFaults {
  // In percent, of messages between peers.
  std::uint64_t m_loss = 0;
  base::Duration m_lag{};
  bool m_platform_is_down = false;
  std::set<std::size_t> m_cut_from_platform;
  // Frozen followers take their events when they thaw.
  std::set<std::size_t> m_frozen;
  std::set<std::size_t> m_dead;
};

class FollowerWorld {
 public:
  FollowerWorld(std::size_t followers, std::uint64_t seed);

  // Queries.
  bool AllHaveLatest() const;
  // No follower has put an older or wrong document in force, or claimed a
  // confirmation later than the platform gave one.
  bool IsSound() const { return m_is_sound; }
  std::size_t Asks() const { return m_asks; }
  std::vector<std::size_t> Watchers() const;
  const platform::ConfigurationFollower& Follower(std::size_t index) const {
    return m_nodes[index].m_follower;
  }
  base::TimePoint Now() const { return m_now; }

  // Commands.
  // Writes a new version of the document.
  void Write();
  void RunFor(base::Duration duration);
  void SetFaults(WorldFaults faults);
  // Tells every live follower which ones are live.
  void AnnounceLivePeers();

 private:
  struct Node {
    platform::ConfigurationFollower m_follower;
    std::vector<platform::FollowerEvent> m_inbox;
    platform::DocumentBody m_body;
    base::ConfigurationVersion m_version;
  };
  using Action = std::function<void()>;

  void After(base::Duration delay, Action action);
  base::Duration NetworkDelay();
  bool IsLost();
  bool IsSilent(std::size_t index) const;
  void Deliver(std::size_t index, const platform::FollowerEvent& event);
  void Apply(std::size_t index, const platform::FollowerEffect& effect);
  void Adopt(std::size_t index, const platform::AdoptDocument& document);
  void PollPlatform(std::size_t index,
                    const platform::AskPlatform& ask,
                    base::TimePoint deadline);
  void Pull(std::size_t index, const platform::PullFromPeer& pull);
  void Gossip(std::size_t index);
  void Probe(std::size_t index, std::size_t peer);
  void AnswerGossip(std::size_t from, std::size_t to, base::TimePoint asked_at);
  void CheckConfirmation(std::size_t index);
  base::ConfigurationVersion VisibleVersion() const;

  base::Random m_random;
  base::TimePoint m_now = base::TimePoint() + std::chrono::hours(1);
  WorldFaults m_faults;
  std::vector<Node> m_nodes;
  std::multimap<base::TimePoint, Action> m_queue;
  std::vector<std::pair<base::TimePoint, base::ConfigurationVersion>>
      m_versions;
  // When the platform last said that each version is the newest.
  std::map<base::ConfigurationVersion, base::TimePoint> m_served_at;
  std::size_t m_asks = 0;
  bool m_is_sound = true;
};

#endif  // TESTS_LIBPLATFORM_FOLLOWER_WORLD_H_
