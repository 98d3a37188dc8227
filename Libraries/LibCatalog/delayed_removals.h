// Holds back the removal of backend servers whose records lapsed while the
// store was away.
//
// A server that could not renew its record loses it, though it lives; it
// registers again soon after the store is back. So a removal that is seen
// during an outage or shortly after takes effect only at the end of that time.

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
  // From the return of the store. Servers are back within about 2 s of it; the
  // rest is a balancer's delay in noticing the return.
  static constexpr base::Duration kReregistrationTime =
      std::chrono::milliseconds(2300);

  // Queries.
  bool IsDelaying(base::TimePoint now) const;

  // Commands.
  void OnOutageStarted() { m_is_in_outage = true; }
  void OnOutageEnded(base::TimePoint now);
  // `names` lost their records at once. Returns those to be removed now.
  std::vector<steering::ServerName> OnRecordsRemoved(
      const std::vector<steering::ServerName>& names,
      base::TimePoint now);
  // The record is back.
  void OnRecordRegistered(const steering::ServerName& name) {
    m_due_times.erase(name);
  }
  // The removals that are due.
  std::vector<steering::ServerName> PopDue(base::TimePoint now);

 private:
  bool m_is_in_outage = false;
  std::optional<base::TimePoint> m_outage_ended_at;
  std::map<steering::ServerName, base::TimePoint> m_due_times;
};

}  // namespace catalog

#endif  // LIBCATALOG_DELAYED_REMOVALS_H_
