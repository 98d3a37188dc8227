// Delays the removal of backend servers whose records expired during an outage
// of the store.
//
// A running server that cannot renew its record loses the record, and registers
// again soon after the outage. A removal that is received during an outage or
// within kReregistrationTime after its end is therefore applied at the end of
// that time, and only if the server has not registered again.

#ifndef LIBCATALOG_DELAYED_REMOVALS_H_
#define LIBCATALOG_DELAYED_REMOVALS_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "LibBase/time.h"
#include "LibSteering/ids.h"

namespace catalog {

// The collection whose calls show an outage. The outage of the store lasts
// until the calls for both collections succeed again.
enum class OutageSource { kServers, kManifests };

class DelayedRemovals {
 public:
  // From the end of an outage. Servers register again within about 2 s of it;
  // the rest is the delay with which a balancer detects the end.
  static constexpr base::Duration kReregistrationTime =
      std::chrono::milliseconds(2300);

  // Queries.
  // Whether a removal that is received at `now` is delayed.
  bool IsDelaying(base::TimePoint now) const;

  // Whether the removal of `name` is delayed.
  bool IsPending(const steering::ServerName& name) const {
    return m_due_times.contains(name);
  }
  bool IsInOutage() const { return m_outages != 0; }
  std::optional<base::TimePoint> OutageEndedAt() const {
    return m_outage_ended_at;
  }

  // Commands.
  void OnOutageStarted(OutageSource source) { m_outages |= BitOf(source); }
  void OnOutageEnded(OutageSource source, base::TimePoint now);
  // A peer's view shows that the store came back from a copy of its past.
  // Counts as the end of an outage.
  void OnStoreRestored(base::TimePoint now) { DelayFrom(now); }
  // Replaces what is known of outages by what a peer knows.
  void SetOutage(bool is_in_outage, std::optional<base::TimePoint> ended_at);
  // The records of `names` were removed from the store. Returns the servers to
  // be removed now.
  std::vector<steering::ServerName> OnRecordsRemoved(
      const std::vector<steering::ServerName>& names,
      base::TimePoint now);
  // Delays the removal of `names`, whose records may have expired in an outage
  // that no call has shown.
  void Delay(const std::vector<steering::ServerName>& names,
             base::TimePoint now);
  // Cancels the delayed removal of `name`, whose record is in the store again.
  void OnRecordRegistered(const steering::ServerName& name) {
    m_due_times.erase(name);
  }
  // Returns the servers whose delayed removals are due, and deletes the
  // removals. Returns none during an outage.
  std::vector<steering::ServerName> PopDue(base::TimePoint now);

 private:
  static constexpr unsigned BitOf(OutageSource source) {
    return 1U << static_cast<unsigned>(source);
  }
  // Delays the pending removals until servers have had time to register again.
  void DelayFrom(base::TimePoint ended_at);

  // A bit for each source that shows an outage.
  unsigned m_outages = 0;
  std::optional<base::TimePoint> m_outage_ended_at;
  std::map<steering::ServerName, base::TimePoint> m_due_times;
};

}  // namespace catalog

#endif  // LIBCATALOG_DELAYED_REMOVALS_H_
