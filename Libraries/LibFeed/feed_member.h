// Decides, for one balancer, whether it reads the store itself, which peer it
// asks for changes instead, and what it does with a response. Does no I/O.
//
// Load: with hundreds of balancers, a watch of the store on each costs hundreds
// of calls for every change. In each data centre a few balancers read the store
// (readers); the others poll two of them in turn, with one datagram each way.
// There is no lock: a surplus reader costs calls, a missing one costs the
// others m_fed_for until one of them reads the store itself. Readers register
// with the seeds each second, and a seed asks a balancer of a data centre with
// too few readers to become one.
//
// A balancer that no reader responds to for m_fed_for reads the store itself.
// If the readers respond but the store does not respond to them, the balancer
// reads the store within m_outage_spread, at a time that depends on its
// address, so that the balancers do not all call it together.

#ifndef LIBFEED_FEED_MEMBER_H_
#define LIBFEED_FEED_MEMBER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFeed/feed_poll.h"
#include "LibFeed/feed_request.h"
#include "LibFeed/feed_response.h"
#include "LibFeed/feed_settings.h"
#include "LibFeed/reader_registry.h"
#include "LibFeed/store_status.h"

namespace feed {

// What a response means for the balancer that sent the request.
enum class ResponseVerdict {
  // The balancer has not sent the request, or has given it up.
  kUnsolicited,
  // The responder is no current reader.
  kNotCurrent,
  // The responder knows less than this balancer of one collection, and no more
  // of the others, or it does not read a collection that this balancer needs.
  kBehind,
  // The view is as new as that of the responder.
  kNothingNew,
  // The response contains the changes.
  kHasChanges,
  // The changes have to be fetched from the responder.
  kFetchChanges,
  // The balancer is about to list the store itself.
  kListing,
};

inline constexpr base::EnumTable<ResponseVerdict, 7> kResponseVerdictNames{{
    {ResponseVerdict::kUnsolicited, "unsolicited"},
    {ResponseVerdict::kNotCurrent, "not_current"},
    {ResponseVerdict::kBehind, "behind"},
    {ResponseVerdict::kNothingNew, "nothing_new"},
    {ResponseVerdict::kHasChanges, "has_changes"},
    {ResponseVerdict::kFetchChanges, "fetch_changes"},
    {ResponseVerdict::kListing, "listing"},
}};

// Why a balancer became a reader or ceased to be one.
enum class RoleReason {
  kNeverRead,
  // A peer knows too few readers in the data centre.
  kAsked,
  // No current reader responded.
  kNotFed,
  // Enough other readers have a smaller rank.
  kSurplus,
  // The store fails this balancer and not others.
  kRelieved,
};

inline constexpr base::EnumTable<RoleReason, 5> kRoleReasonNames{{
    {RoleReason::kNeverRead, "never_read"},
    {RoleReason::kAsked, "asked"},
    {RoleReason::kNotFed, "not_fed"},
    {RoleReason::kSurplus, "surplus"},
    {RoleReason::kRelieved, "relieved"},
}};

class FeedMember {
 public:
  static constexpr base::Duration kAnnouncementInterval =
      std::chrono::seconds(1);
  // For a balancer that waits for the first view of a reader.
  static constexpr base::Duration kFirstViewPollInterval =
      std::chrono::milliseconds(100);
  static constexpr std::size_t kPolledReaders = 2;
  // The least time between the polls that are sent because a packet shows that
  // peers know more. Packets with a wrong token must not cause a poll each.
  static constexpr base::Duration kRequestedPollInterval =
      std::chrono::milliseconds(100);
  // A balancer that lists the store after its start does not fetch the view of
  // a peer for this long after its start and after each page of the list,
  // because many balancers may have started together and the link of a reader
  // is slower than that of the store.
  static constexpr base::Duration kOwnListTime = std::chrono::milliseconds(500);
  // A surplus reader continues for this long, because the other readers may
  // not yet be known to the balancers that ask this one.
  static constexpr base::Duration kSurplusTime = std::chrono::seconds(3);
  // A reader that does not respond this many times in a row is forgotten, and
  // not asked again for a reader's lifetime on the word of another peer.
  static constexpr int kMaximumFailures = 2;

  // The revision counts all changes of the store, and a reader learns of the
  // changes of other collections only when its watch returns. Until then a
  // balancer that has listed the collection knows a greater revision. Longer
  // than any watch.
  static constexpr base::Duration kMaximumBehindTime = std::chrono::seconds(6);

  FeedMember(FeedSettings settings, std::uint64_t seed, base::TimePoint now);

  // Queries.
  bool IsReader() const { return m_is_reader; }
  // Why IsReader last changed.
  RoleReason LastRoleReason() const { return m_role_reason; }
  // Whether this balancer is to call the store.
  bool ShouldReadStore(base::TimePoint now) const {
    return m_is_reader || now >= m_read_from;
  }
  // Whether a current reader has confirmed this balancer's view recently.
  bool IsFed(base::TimePoint now) const {
    return m_fed_at && now - *m_fed_at < m_settings.m_fed_for;
  }
  // When a current reader last confirmed this balancer's view.
  std::optional<base::TimePoint> FedAt() const { return m_fed_at; }
  // When the poll was sent that was last responded to.
  base::TimePoint LastAnsweredPollAt() const { return m_answered_poll_at; }
  // Whether a peer has a newer manifest in force that the store has lost when
  // it came back from a copy of its past.
  bool IsManifestLost(const StoreStatus& own, base::TimePoint now) const;
  // When Advance has to be called next.
  base::TimePoint NextAdvanceAt(const StoreStatus& own) const;
  const ReaderRegistry& registry() const { return m_registry; }
  // Whether a request is of another balancer of this fleet.
  bool IsOfPeer(base::Ipv4Address source, const FeedRequest& request) const {
    return request.m_fleet == m_settings.m_fleet && source != m_settings.m_self;
  }

  // Commands.
  void SetSettings(FeedSettings settings) { m_settings = std::move(settings); }
  // Updates the role of this balancer, and returns the requests to send now.
  // `own` is this balancer's status.
  std::vector<FeedPoll> Advance(const StoreStatus& own, base::TimePoint now);
  // Records what a request shows, and returns the response without its delta;
  // nothing if the request is of another fleet.
  std::optional<FeedResponse> HandleRequest(base::Ipv4Address source,
                                            const FeedRequest& request,
                                            const StoreStatus& own,
                                            base::TimePoint now);
  ResponseVerdict HandleResponse(base::Ipv4Address source,
                                 const FeedResponse& response,
                                 const StoreStatus& own,
                                 base::TimePoint now);
  // The changes of a response with verdict kHasChanges or kFetchChanges were
  // applied.
  void OnChangesApplied(base::TimePoint now) { RecordFed(now); }
  // Peers may know more than this balancer, which needs a view that contains
  // all changes made before `needed_as_of`; nothing if it takes any newer view.
  // Returns whether a poll is due at once.
  bool RequestPoll(std::optional<base::TimePoint> needed_as_of,
                   base::TimePoint now);
  // The process was paused: what it knows may be outdated.
  void OnPaused(base::TimePoint now);

 private:
  struct PendingPoll {
    base::Ipv4Address m_peer;
    std::uint64_t m_number = 0;
    base::TimePoint m_sent_at;
  };

  // Consecutive polls of a peer without a response.
  struct Failures {
    int m_count = 0;
    base::TimePoint m_last_at;
  };

  // A manifest that a peer has in force and the store has lost.
  struct LostManifest {
    base::ConfigurationVersion m_version;
    base::TimePoint m_heard_at;
  };

  void RecordFed(base::TimePoint now);
  void OnReaderNotCurrent(base::TimePoint now);
  // A current reader responded with an older revision than this balancer's.
  void RecordBehind(base::TimePoint now);
  void RemoveTimedOutPolls(base::TimePoint now);
  void UpdateRole(const StoreStatus& own, base::TimePoint now);
  void StartReading(RoleReason reason);
  void StopReading(RoleReason reason, base::TimePoint now);
  // The current readers of this data centre but for this balancer.
  std::vector<ReaderEntry> OtherCurrentReaders(base::TimePoint now) const;
  // Whether a reader of any data centre counts as current.
  bool HasCurrentReader(base::TimePoint now) const;
  // The readers that this balancer polls in turn: current ones of its data
  // centre, then of others; without any, those that the store fails.
  std::vector<base::Ipv4Address> ReadersToPoll(base::TimePoint now) const;
  // The peer to ask for changes; nothing if none is known.
  std::optional<base::Ipv4Address> NextPeer(base::TimePoint now);
  std::optional<base::Ipv4Address> NextSeed();
  base::Duration PollInterval(const StoreStatus& own, base::TimePoint now);
  FeedPoll MakePoll(base::Ipv4Address peer,
                    const StoreStatus& own,
                    base::TimePoint now);
  // A request for the changes that this balancer does not know.
  FeedPoll MakeFeedPoll(base::Ipv4Address peer,
                        const StoreStatus& own,
                        base::TimePoint now);
  std::vector<ReaderEntry> ReadersFor(const base::DataCentreId& data_centre,
                                      base::Ipv4Address requester,
                                      base::TimePoint now) const;
  void RecordReaders(const FeedResponse& response,
                     base::Ipv4Address source,
                     base::TimePoint now);

  FeedSettings m_settings;
  base::Random m_random;
  ReaderRegistry m_registry;
  bool m_is_reader = false;
  RoleReason m_role_reason = RoleReason::kNeverRead;
  std::optional<base::TimePoint> m_surplus_since;
  bool m_had_view = false;
  std::optional<base::TimePoint> m_fed_at;
  std::optional<base::TimePoint> m_behind_since;
  std::optional<LostManifest> m_lost_manifest;
  base::TimePoint m_started_at;
  // From this time on, the balancer reads the store unless it is fed.
  base::TimePoint m_read_from;
  // m_read_from was set because no reader is current.
  bool m_is_read_scheduled = false;
  // When Advance was last called.
  base::TimePoint m_advanced_at;
  base::TimePoint m_next_poll_at;
  // When RequestPoll last had an effect.
  std::optional<base::TimePoint> m_poll_requested_at;
  // The latest needed time of RequestPoll that no poll has named.
  std::optional<base::TimePoint> m_needed_as_of;
  base::TimePoint m_next_announcement_at;
  std::vector<PendingPoll> m_pending;
  base::TimePoint m_answered_poll_at;
  // By address.
  std::unordered_map<std::uint32_t, Failures> m_failures;
  std::size_t m_turn = 0;
  std::size_t m_seed_turn = 0;
};

}  // namespace feed

#endif  // LIBFEED_FEED_MEMBER_H_
