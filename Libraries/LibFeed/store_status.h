// What a balancer knows of the store, as it tells its peers.

#ifndef LIBFEED_STORE_STATUS_H_
#define LIBFEED_STORE_STATUS_H_

#include <optional>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibCatalog/revision.h"

namespace feed {

struct StoreStatus {
  // The balancer reads the store itself, and its calls succeed, so that it
  // learns of a change as soon as its next call returns.
  bool m_is_current = false;
  // The balancer's calls to the store fail. Not sent to peers.
  bool m_is_failing = false;
  // The time since the last page of a list in progress arrived; unset without
  // one. Not sent to peers.
  std::optional<base::Duration> m_list_progress_age;
  // The changes of each collection are known up to these revisions; zero if
  // the collection has not been read.
  catalog::Revision m_servers;
  catalog::Revision m_manifest;
  catalog::Revision m_evacuations;
  // The settings have a bound on evacuations, so that the balancer has to know
  // them. Not sent to peers.
  bool m_needs_evacuations = false;
  // The manifest in force. It is newer than the one in the store after the
  // store came back from a copy of its past.
  base::ConfigurationVersion m_manifest_version;
  // All changes that are older than this are known of servers and manifest, by
  // the store's responses to this balancer; unset if that is not known of any
  // age.
  std::optional<base::Duration> m_view_age;
  // Whether an outage of the store is known, and the time since the last one
  // ended. They delay removals, see catalog::DelayedRemovals.
  bool m_is_in_outage = false;
  std::optional<base::Duration> m_outage_ended_age;

  bool HasView() const {
    return m_servers != catalog::Revision() &&
           m_manifest != catalog::Revision();
  }
};

}  // namespace feed

#endif  // LIBFEED_STORE_STATUS_H_
