// Decides how a balancer follows one collection of the store: list it, then
// watch it from the list's revision, and list again when the history is gone.
// Free of I/O; time and randomness are passed in.
//
// A pause between two watches lets one call bring many changes, as each call
// has a price and the store's rate is shared by all balancers.

#ifndef LIBCATALOG_COLLECTION_WATCHER_H_
#define LIBCATALOG_COLLECTION_WATCHER_H_

#include <chrono>
#include <optional>
#include <string>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibCatalog/collection_call.h"
#include "LibPlatform/back_off.h"

namespace catalog {

struct WatcherPolicy {
  // From the answer of a watch to the next watch. With the time of a call and
  // a retry it stays under the bound on changes.
  base::Duration m_pause_between_watches = std::chrono::milliseconds(800);
  // How long a watch waits. A connection that went silent is found after this
  // time, so it stays near the time in which a fault has no bound.
  base::Duration m_watch_wait = std::chrono::seconds(4);
  // How long a watch waits while the store does not answer. A longer one would
  // hang on in an outage that is over.
  base::Duration m_watch_wait_in_outage = std::chrono::milliseconds(100);
  // A call answered later than its wait and this was held up by an outage, in
  // which records may have lapsed.
  base::Duration m_late_response = std::chrono::milliseconds(600);
  base::Duration m_initial_back_off = std::chrono::milliseconds(100);
  base::Duration m_maximum_back_off = std::chrono::milliseconds(800);
};

// What follows from the result of a call.
enum class CollectionUpdate {
  kNone,
  // The pages since the last kListComplete are one whole list.
  kListComplete,
  kChanged,
};

class CollectionWatcher {
 public:
  struct Outcome {
    CollectionUpdate m_update = CollectionUpdate::kNone;
    // The first failure after a success, and the first success after a
    // failure.
    bool m_is_store_lost = false;
    bool m_is_store_regained = false;
  };

  CollectionWatcher(WatcherPolicy policy,
                    base::Random random,
                    base::TimePoint now);

  // Queries.
  // The revision up to which all changes are known.
  Revision KnownRevision() const { return m_revision; }
  // The start of the last call that confirmed the revision.
  std::optional<base::TimePoint> ConfirmedAt() const { return m_confirmed_at; }
  // Since when calls have failed; nothing if the last one did not.
  std::optional<base::TimePoint> FailingSince() const {
    return m_failing_since;
  }
  bool IsCallOpen() const { return m_is_call_open; }
  // A watch waits at the store, so that what is known is the newest.
  bool IsWatching() const { return m_is_call_open && !m_is_listing; }
  // When StartDueCall gives the next call, unless one is open.
  base::TimePoint NextCallAt() const { return m_next_call_at; }

  // Commands.
  void SetPolicy(const WatcherPolicy& policy);
  // The call that is due, if any. Its result goes to HandleResult.
  std::optional<CollectionCall> StartDueCall(base::TimePoint now);
  Outcome HandleResult(const CallResult& result, base::TimePoint now);
  // Makes the next call due at once, as after a pause of the process.
  void Expedite(base::TimePoint now) { m_next_call_at = now; }
  // Takes over a whole list that somebody else read. False if it is not newer.
  bool AdoptRevision(Revision revision);

 private:
  CollectionUpdate HandlePage(const PageResponse& page, base::TimePoint now);
  CollectionUpdate HandleChanges(const ChangesResponse& changes,
                                 base::TimePoint now);
  void HandleFailure(CallFailure failure, base::TimePoint now);
  // A list, if one comes, begins with its first page.
  void ResetList();

  WatcherPolicy m_policy;
  base::Random m_random;
  platform::BackOff m_back_off;
  Revision m_revision;
  // Of the first page of the list in progress: later pages may be newer, and
  // what changed meanwhile comes again with the watch.
  std::optional<Revision> m_list_revision;
  std::string m_last_listed_name;
  bool m_is_listing = true;
  bool m_is_call_open = false;
  base::TimePoint m_call_started_at;
  base::Duration m_call_wait{};
  base::TimePoint m_next_call_at;
  std::optional<base::TimePoint> m_confirmed_at;
  std::optional<base::TimePoint> m_failing_since;
};

}  // namespace catalog

#endif  // LIBCATALOG_COLLECTION_WATCHER_H_
