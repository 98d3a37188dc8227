// A fleet of balancers with the library's decisions, a store with a revision,
// and a network in simulated time. Each balancer reads the store with a
// CollectionWatcher when its FeedMember says so. Faults are injected between
// steps.

#ifndef TESTS_LIBFEED_FLEET_SIMULATION_H_
#define TESTS_LIBFEED_FLEET_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibCatalog/collection_watcher.h"
#include "LibFeed/confirmation_queue.h"
#include "LibFeed/feed_member.h"
#include "LibFeed/received_request.h"

namespace feed {

// The usual policy of a reader, and that of a balancer that calls the store
// because it is not fed.
catalog::WatcherPolicy MakeReaderPolicy();
catalog::WatcherPolicy MakeFallbackPolicy();

// How the store fails for all balancers.
enum class StoreFault {
  kNone,
  kUnreachable,
  // Each call gets a response at once, which says that nothing was done.
  kRefusing,
  // The store accepts the calls and responds to none.
  kSilent,
};

struct FleetOptions {
  std::size_t m_balancers = 200;
  std::size_t m_data_centres = 5;
  std::size_t m_seeds = 3;
  std::size_t m_readers_per_data_centre = 2;
  std::uint64_t m_seed = 1;
  double m_loss = 0.01;
  // Whether the balancers follow readers. Otherwise each reads the store.
  bool m_has_feed = true;
  // The bound within which a change must be known, and the time after a fault
  // in which it does not hold.
  base::Duration m_bound = std::chrono::seconds(6);
  base::Duration m_settling_time = std::chrono::seconds(6);
  // The intervals. The simulation sets the other fields.
  FeedSettings m_feed;
  catalog::WatcherPolicy m_reader_policy = MakeReaderPolicy();
  catalog::WatcherPolicy m_fallback_policy = MakeFallbackPolicy();
};

class FleetSimulation {
 public:
  static constexpr base::Duration kStep = std::chrono::milliseconds(10);

  explicit FleetSimulation(const FleetOptions& options);

  // Queries.
  base::TimePoint Now() const { return m_now; }
  std::size_t size() const { return m_balancers.size(); }
  std::size_t Readers(std::size_t data_centre) const;
  bool IsReader(std::size_t index) const;
  // Calls to the store since the last call of ResetCounts, and the greatest
  // number of them in 100 ms.
  std::size_t Calls() const { return m_calls; }
  std::size_t LargestBurst() const { return m_largest_burst; }
  // The longest time after which a change was unknown to a balancer that was
  // undisturbed for the settling time, over the time of Run.
  base::Duration LongestDelay() const { return m_longest_delay; }
  // How often a balancer's revision decreased.
  std::size_t StepsBack() const { return m_steps_back; }
  // How often changes were applied to a view that they don't follow.
  std::size_t Gaps() const { return m_gaps; }
  // How often a balancer claimed to know all changes made before a time, and
  // lacked one of them.
  std::size_t FalseClaims() const { return m_false_claims; }
  // How long balancers waited until their view was known to contain all changes
  // made before a RequireCurrentView: the longest time, and how many still
  // wait.
  base::Duration LongestConfirmation() const { return m_longest_confirmation; }
  std::size_t Unconfirmed() const;
  // Balancers that are up and have no view.
  std::size_t WithoutView() const;

  // Commands.
  // Runs for `length`, with a change of the store every `change_interval`; zero
  // means no changes.
  void Run(base::Duration length, base::Duration change_interval);
  void ResetCounts();
  void Change();
  // A balancer needs a view that contains all changes made before now.
  void RequireCurrentView(std::size_t index);
  // The store comes back, in a new era, from a copy of its state `changes` ago.
  void Restore(std::size_t changes);
  void Kill(std::size_t index);
  // Starts a balancer that was killed. It knows nothing.
  void Start(std::size_t index, bool is_first_start = false);
  void Freeze(std::size_t index, base::Duration length);
  // Cuts a balancer from the store, or from its peers.
  void CutFromStore(std::size_t index, bool is_cut);
  // The store accepts the calls of a balancer and responds to none.
  void SilenceStore(std::size_t index, bool is_silent);
  void CutFromPeers(std::size_t index, bool is_cut);
  // Cuts a data centre from the others; the store stays in reach.
  void CutDataCentre(std::size_t data_centre) {
    m_cut_data_centre = data_centre;
  }
  void SetStoreFault(StoreFault fault) {
    m_store_fault = fault;
    m_store_disturbed_at = m_now;
  }
  void SetStoreDown(bool is_down) {
    SetStoreFault(is_down ? StoreFault::kUnreachable : StoreFault::kNone);
  }
  // The history is lost: watches from before the current revision fail.
  void CompactHistory() { m_history_from = m_revision.number(); }

 private:
  // Identifies a state of the store. A restored store shares the states up to
  // the copy with its past, and has others after it, under the same revisions.
  using StateId = std::size_t;
  struct State {
    StateId m_former = 0;
    base::TimePoint m_began_at;
  };
  struct View {
    catalog::Revision m_revision;
    StateId m_state = 0;
    // The revision of the last complete list.
    catalog::Revision m_listed;
  };
  struct StoreCall {
    catalog::CollectionCall m_call;
    base::TimePoint m_sent_at;
  };
  struct Balancer {
    std::unique_ptr<FeedMember> m_member;
    std::unique_ptr<catalog::CollectionWatcher> m_watcher;
    std::optional<StoreCall> m_call;
    bool m_is_up = false;
    bool m_is_cut_from_store = false;
    bool m_is_store_silent = false;
    bool m_is_cut_from_peers = false;
    std::optional<base::TimePoint> m_frozen_until;
    base::TimePoint m_disturbed_at;
    View m_view;
    ConfirmationQueue m_waiting_requests;
    // The time up to which readers have shown the view to be complete.
    std::optional<base::TimePoint> m_fed_current_as_of;
    std::optional<base::TimePoint> m_needed_as_of;
  };
  struct Packet {
    base::TimePoint m_at;
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    std::function<void(Balancer& receiver)> m_deliver;
  };

  static base::Ipv4Address AddressOf(std::size_t index);
  static std::size_t IndexOf(base::Ipv4Address address);
  std::size_t DataCentreOf(std::size_t index) const;
  bool CanRun(const Balancer& balancer) const;
  StoreStatus StatusOf(const Balancer& balancer) const;
  void Step();
  void StepBalancer(std::size_t index);
  void CallStore(Balancer& balancer);
  std::optional<catalog::CallResult> ResultOf(const Balancer& balancer,
                                              const StoreCall& call) const;
  // The store's events after `since` were received.
  void ApplyEvents(Balancer& balancer, catalog::Revision since);
  // A reader's changes were received, or its whole view.
  void ApplyChanges(Balancer& balancer, const View& reader, bool is_whole_view);
  void SetView(Balancer& balancer, catalog::Revision revision, StateId state);
  // When the first change that is not in `view` was made.
  base::TimePoint FirstUnknownChange(const View& view) const;
  // Whether `state` led to `later`.
  bool IsFollowedBy(StateId state, StateId later) const;
  void SendPolls(std::size_t index);
  void Send(std::size_t from,
            std::size_t to,
            std::function<void(Balancer& receiver)> deliver);
  void HandleRequest(std::size_t from,
                     std::size_t to,
                     const FeedRequest& request);
  void Answer(std::size_t index, const ReceivedRequest& request);
  void RequestConfirmation(Balancer& balancer, base::TimePoint needed_as_of);
  static std::optional<base::TimePoint> CurrentAsOf(const Balancer& balancer) {
    return std::max(balancer.m_watcher->CurrentAsOf(),
                    balancer.m_fed_current_as_of);
  }
  void CheckClaims();
  // Repeats the requests of the balancers that need a current view.
  void RequestNeededViews();
  void HandleResponse(std::size_t from,
                      std::size_t to,
                      const FeedResponse& response,
                      const View& responder,
                      bool is_whole_view);
  void RecordDelays();
  void CountCall();

  FleetOptions m_options;
  base::Random m_random;
  base::TimePoint m_now{std::chrono::hours(1)};
  std::vector<Balancer> m_balancers;
  std::vector<Packet> m_packets;
  catalog::Revision m_revision{base::StoreEra(1), 0};
  std::uint64_t m_history_from = 0;
  // State 0 is the empty view.
  std::vector<State> m_states{1};
  // The states of the store by the number of the revision.
  std::vector<StateId> m_history{0};
  StoreFault m_store_fault = StoreFault::kNone;
  std::optional<std::size_t> m_cut_data_centre;
  base::TimePoint m_store_disturbed_at;
  std::size_t m_calls = 0;
  std::size_t m_burst = 0;
  std::size_t m_largest_burst = 0;
  base::TimePoint m_burst_started_at;
  base::Duration m_longest_delay{};
  std::size_t m_steps_back = 0;
  std::size_t m_gaps = 0;
  std::size_t m_false_claims = 0;
  base::Duration m_longest_confirmation{};
};

}  // namespace feed

#endif  // TESTS_LIBFEED_FLEET_SIMULATION_H_
