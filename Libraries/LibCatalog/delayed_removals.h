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

class DelayedRemovals {
 public:
  // From the end of an outage. Servers register again within about 2 s of it;
  // the rest is the delay with which a balancer detects the end.
  static constexpr base::Duration kReregistrationTime =
      std::chrono::milliseconds(2300);

  // Queries.
  // Whether a removal that is received at `now` is delayed.
  bool IsDelaying(base::TimePoint now) const;

  // Commands.
  void OnOutageStarted() { m_is_in_outage = true; }
  void OnOutageEnded(base::TimePoint now);
  // The records of `names` were removed from the store. Returns the servers to
  // be removed now.
  std::vector<steering::ServerName> OnRecordsRemoved(
      const std::vector<steering::ServerName>& names,
      base::TimePoint now);
  // Cancels the delayed removal of `name`, whose record is in the store again.
  void OnRecordRegistered(const steering::ServerName& name) {
    m_due_times.erase(name);
  }
  // Returns the servers whose delayed removals are due, and deletes the
  // removals. Returns none during an outage.
  std::vector<steering::ServerName> PopDue(base::TimePoint now);

 private:
  bool m_is_in_outage = false;
  std::optional<base::TimePoint> m_outage_ended_at;
  std::map<steering::ServerName, base::TimePoint> m_due_times;
};

}  // namespace catalog

#endif  // LIBCATALOG_DELAYED_REMOVALS_H_
