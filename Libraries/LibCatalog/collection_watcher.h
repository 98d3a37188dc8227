// Schedules the calls with which a balancer watches one collection of the
// store: list the collection, then watch it from the revision of the list, and
// list it again when the store no longer has the history since the known
// revision. Does no I/O; time and randomness are passed in.
//
// A store that comes back from a copy of its past is in a new era. What is
// known of the former era is then replaced by a list: a watch would miss the
// changes up to a revision that the store has assigned again.
//
// Because of a pause between two watches, one call returns several changes.
// Each call has a cost, and all balancers share the store's rate limit.

#ifndef LIBCATALOG_COLLECTION_WATCHER_H_
#define LIBCATALOG_COLLECTION_WATCHER_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibCatalog/collection_call.h"
#include "LibPlatform/back_off.h"

namespace catalog {

struct WatcherPolicy {
  // From the response to a watch to the next watch. The pause, a call and a
  // retry together take less time than the bound on changes.
  base::Duration m_pause_between_watches = std::chrono::milliseconds(800);
  // The longest time from a response to the response to the next watch, which
  // the store sends then if there are no changes. A silent connection is
  // detected after this time.
  base::Duration m_watch_wait = std::chrono::seconds(4);
  // The wait of a watch while calls fail, and of the first watch after a time
  // without calls. With a longer wait, the balancer would learn later that the
  // store responds.
  base::Duration m_watch_wait_in_outage = std::chrono::milliseconds(100);
  // A response that takes longer than the wait of its call plus this time was
  // delayed by an outage, in which records may have expired.
  base::Duration m_late_response = std::chrono::milliseconds(600);
  // The least time between the starts of a watch and of the confirmation that
  // follows it, see RequestConfirmation.
  base::Duration m_confirmation_interval = std::chrono::milliseconds(50);
  // A call that takes longer than its wait plus this time may never return. The
  // known revision does not count as current until it does.
  base::Duration m_overdue_response = std::chrono::milliseconds(400);
  base::Duration m_initial_back_off = std::chrono::milliseconds(100);
  base::Duration m_maximum_back_off = std::chrono::milliseconds(800);

  friend bool operator==(const WatcherPolicy&, const WatcherPolicy&) = default;
};

// How the result of a call changes the known objects.
enum class CollectionUpdate {
  // The objects of the response must not be applied.
  kNone,
  // A page of the first list, which is not complete yet.
  kFirstListPage,
  // The pages received since the previous kListComplete are one complete list.
  kListComplete,
  // A watch returned the changes since the known revision. There may be none.
  kChanged,
};

class CollectionWatcher {
 public:
  struct Outcome {
    CollectionUpdate m_update = CollectionUpdate::kNone;
    // Set if the call failed.
    std::optional<CallFailure> m_failure;
    // Set at the first failure after a success, and at the first success after
    // a failure. A late success after a success sets both.
    bool m_is_store_lost = false;
    bool m_is_store_regained = false;
    // The complete list is of a later era than the previously known revision.
    // Also sets m_is_store_regained, since servers have to register again.
    bool m_is_store_restored = false;
  };

  CollectionWatcher(WatcherPolicy policy,
                    base::Random random,
                    base::TimePoint now);

  // Queries.
  // All changes up to this revision are known.
  Revision KnownRevision() const { return m_revision; }
  // The start of the last call that confirmed the known revision.
  std::optional<base::TimePoint> ConfirmedAt() const { return m_confirmed_at; }
  // All changes made before this time are known: the start of the last list or
  // watch that the store responded to. An open call shows nothing, because its
  // response may have been lost. Nothing before the first list.
  std::optional<base::TimePoint> CurrentAsOf() const { return m_current_as_of; }
  // The time of the first failure since the last success, if there was one.
  // kHistoryGone does not count as a failure.
  std::optional<base::TimePoint> FailingSince() const {
    return m_failing_since;
  }
  // Whether the calls succeed and none is overdue, so that a change will be
  // received with the next response.
  bool IsCurrent(base::TimePoint now) const;
  bool IsCallOpen() const { return m_is_call_open; }
  // When the last page of the list in progress arrived; nothing before its
  // first page and without a list.
  std::optional<base::TimePoint> ListProgressAt() const {
    return m_is_listing && m_list_revision ? m_responded_at : std::nullopt;
  }
  // A watch is open, so the store reports a change as soon as there is one.
  bool IsWatching() const { return m_is_call_open && !m_is_listing; }
  // The time from which StartDueCall returns the next call, unless a call is
  // open.
  base::TimePoint NextCallAt() const { return m_next_call_at; }

  // Commands.
  void SetPolicy(const WatcherPolicy& policy);
  // Returns the call that is due, if any, and marks it as open. The owner sends
  // the call and passes its result to HandleResult.
  std::optional<CollectionCall> StartDueCall(base::TimePoint now);
  // Records the result of the open call and schedules the next call.
  Outcome HandleResult(const CallResult& response, base::TimePoint now);
  // Makes the next call due at once, for example after the process was paused.
  void Expedite(base::TimePoint now) { m_next_call_at = now; }
  // Ends a pause between two watches, because changes may have been made that
  // are needed now. Lists and the back-off after a failure are not affected.
  void EndPause(base::TimePoint now) {
    if (!m_is_call_open && !m_is_listing && !m_failing_since)
      m_next_call_at = std::min(m_next_call_at, now);
  }
  // The changes made before `needed_as_of` have to be known soon. If they are
  // not, makes a watch without a wait due, which the store responds to at once.
  // Lists and the back-off after a failure are not affected. Returns whether
  // the open watch is in the way; the owner then cancels its call and reports
  // that with HandleCancellation.
  [[nodiscard]] bool RequestConfirmation(base::TimePoint needed_as_of,
                                         base::TimePoint now);
  // The owner has cancelled the open watch.
  void HandleCancellation() { m_is_call_open = false; }
  // The machine was suspended for an unknown time before `now`: what was known
  // before is older than the steady clock says, so CurrentAsOf has to be proved
  // by a call that starts from now on.
  void HandleSuspension(base::TimePoint now);
  // Records that the owner has applied a complete list that a peer read at
  // `revision`. Returns false if `revision` is not newer than the known one.
  bool AdoptRevision(Revision revision);

 private:
  bool IsConfirmedRecently(base::TimePoint now) const;
  // Whether the known changes do not reach up to m_needed_as_of.
  bool NeedsConfirmation() const { return m_current_as_of < m_needed_as_of; }
  // The store has responded to a call with all changes made before `time`.
  void RecordCurrentAsOf(base::TimePoint time);
  bool IsOfFormerEra(const CallResult& response) const;
  base::Duration NextWatchWait(base::TimePoint now) const;
  CollectionUpdate HandlePage(const PageResponse& page, base::TimePoint now);
  CollectionUpdate HandleChanges(const ChangesResponse& changes,
                                 base::TimePoint now);
  void HandleFailure(CallFailure failure, base::TimePoint now);
  // Makes a list from its first page the next call.
  void ListAgain(base::TimePoint now);
  // Makes the next list start at its first page.
  void ResetList();

  WatcherPolicy m_policy;
  base::Random m_random;
  platform::BackOff m_back_off;
  Revision m_revision;
  // The revision that the open watch, or the last one, starts from.
  Revision m_watch_since;
  // The revision of the first page of the list in progress. Later pages may be
  // newer; the watch returns the changes made between the pages again.
  std::optional<Revision> m_list_revision;
  std::string m_last_listed_name;
  // When the first page of the last list was requested.
  base::TimePoint m_list_started_at;
  bool m_is_listing = true;
  // A revision was adopted while a list was open.
  bool m_has_adopted_list = false;
  bool m_is_call_open = false;
  base::TimePoint m_call_started_at;
  // When the last call succeeded.
  std::optional<base::TimePoint> m_responded_at;
  // The wait that the open call requested from the store; zero for a list.
  base::Duration m_call_wait{};
  base::TimePoint m_next_call_at;
  std::optional<base::TimePoint> m_confirmed_at;
  std::optional<base::TimePoint> m_current_as_of;
  // Calls that started before do not count for m_current_as_of.
  base::TimePoint m_suspended_until = base::TimePoint::min();
  // The latest time of a RequestConfirmation.
  std::optional<base::TimePoint> m_needed_as_of;
  std::optional<base::TimePoint> m_failing_since;
};

}  // namespace catalog

#endif  // LIBCATALOG_COLLECTION_WATCHER_H_
