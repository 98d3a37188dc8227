// Records which servers were removed from the store, so that a balancer can
// describe the changes since an earlier revision to a peer.

#ifndef LIBCATALOG_REMOVAL_LOG_H_
#define LIBCATALOG_REMOVAL_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "LibCatalog/revision.h"
#include "LibSteering/ids.h"

namespace catalog {

class RemovalLog {
 public:
  // A peer that is farther behind reads the complete list.
  static constexpr std::size_t kMaximumRemovals = 4096;

  // Queries.
  // The servers that were removed after `since`, some of them perhaps before.
  // Empty optional if the log does not reach back to `since`.
  std::optional<std::vector<steering::ServerName>> RemovedSince(
      Revision since) const;

  // Commands.
  // A complete list was read at `revision`. Which servers were added and
  // removed before is unknown.
  void OnListed(Revision revision);
  // `name` was removed after the previously known revision, and at `revision`
  // at the latest.
  void OnRemoved(const steering::ServerName& name, Revision revision);

 private:
  std::deque<std::pair<Revision, steering::ServerName>> m_removals;
  // The oldest revision from which the log is complete; unset before the first
  // list.
  std::optional<Revision> m_complete_since;
};

}  // namespace catalog

#endif  // LIBCATALOG_REMOVAL_LOG_H_
