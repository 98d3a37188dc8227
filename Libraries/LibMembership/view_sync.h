// Synchronizes this balancer's view of the members with that of a peer when the
// digests of the two views differ. The peer's members are requested page by
// page. This delivers the updates that a new or paused balancer missed.

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
  // Time between page requests, and until an unanswered request is repeated.
  static constexpr base::Duration kPagePeriod = std::chrono::milliseconds(100);
  // Time that gossip has to make the views equal before pages are requested.
  static constexpr base::Duration kSettlingTime = std::chrono::seconds(2);
  // A difference that is observed this long after the last synchronization
  // starts another one, even while the own view still changes.
  static constexpr base::Duration kMaximumInterval = std::chrono::seconds(60);
  // Gossip cannot carry more changes than this at once; pages transfer them
  // sooner.
  static constexpr int kMaximumGossipedChanges = 64;
  // A synchronization is abandoned after this many requests without a reply.
  static constexpr int kMaximumUnansweredRequests = 5;

  // A MembersRequest and the peer endpoint to send it to.
  struct Request {
    base::Endpoint m_to;
    base::BalancerId m_after;
  };

  // Queries.
  // Returns the request to send now, if any.
  std::optional<Request> DueRequest(base::TimePoint now) const;

  // Whether a synchronization has finished or equal digests were observed since
  // the start or the last MarkOutdated.
  bool HasFinished() const { return m_has_finished; }

  // Commands.
  // Starts a synchronization with `peer`, whose digest differs, unless one is
  // in progress or gossip may still make the views equal.
  void ObserveDifference(base::Endpoint peer,
                         base::TimePoint own_view_changed_at,
                         base::TimePoint now);
  // Counts a change of the own view by gossip.
  void CountChange() { ++m_changes_since_sync; }
  // Records that a member's digest equals the own one.
  void ObserveEquality() { m_has_finished = true; }
  // Records that the due request was sent.
  void CountRequest(base::TimePoint now);
  // Proceeds to the next page, or finishes after the last page.
  void Receive(base::Endpoint from,
               const peer::MembersReply& reply,
               base::TimePoint now);
  // Lets the next observed difference start a synchronization at once.
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
