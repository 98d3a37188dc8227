// Comparison of the own view of the members with a peer's, page by page, when
// their digests differ. It brings in what a new or paused balancer missed.

#ifndef LIBMEMBERSHIP_VIEW_SYNC_H_
#define LIBMEMBERSHIP_VIEW_SYNC_H_

#include <optional>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibPeer/members_reply.h"

namespace membership {

class ViewSync {
 public:
  // Time between requests for pages, and until an unanswered one is repeated.
  static constexpr base::Duration kPagePeriod = std::chrono::milliseconds(100);
  // Gossip gets this long to make views equal before pages are asked for.
  static constexpr base::Duration kSettlingTime = std::chrono::seconds(2);
  static constexpr base::Duration kMaximumInterval = std::chrono::seconds(60);
  // So much news at once is more than gossip carries; pages carry it sooner.
  static constexpr int kMaximumGossipedChanges = 64;
  static constexpr int kMaximumRequests = 5;

  struct Request {
    base::Endpoint m_to;
    base::BalancerId m_after;
  };

  // Queries.
  // The request that is due, if any.
  std::optional<Request> DueRequest(base::TimePoint now) const;

  // Whether a view was compared as a whole since the start or the last
  // MarkOutdated.
  bool HasFinished() const { return m_has_finished; }

  // Commands.
  // Begins with `peer`, whose digest differs, unless views are being compared
  // already or gossip may still make them equal.
  void ObserveDifference(base::Endpoint peer,
                         base::TimePoint own_view_changed_at,
                         base::TimePoint now);
  // News changed the own view.
  void CountChange() { ++m_changes_since_sync; }
  // A member's digest equals the own one.
  void ObserveEquality() { m_has_finished = true; }
  void CountRequest(base::TimePoint now);
  void Receive(base::Endpoint from,
               const peer::MembersReply& reply,
               base::TimePoint now);
  // The next difference begins a comparison at once.
  void MarkOutdated() { m_has_finished = false; }

 private:
  std::optional<Request> m_request;
  int m_unanswered_requests = 0;
  int m_changes_since_sync = 0;
  base::TimePoint m_next_at;
  base::TimePoint m_finished_at;
  bool m_has_finished = false;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_VIEW_SYNC_H_
