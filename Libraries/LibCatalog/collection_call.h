// The calls with which a balancer watches a collection of the store, and their
// results.

#ifndef LIBCATALOG_COLLECTION_CALL_H_
#define LIBCATALOG_COLLECTION_CALL_H_

#include <string>
#include <variant>

#include "LibBase/time.h"
#include "LibCatalog/call_failure.h"
#include "LibCatalog/revision.h"

namespace catalog {

// Lists one page of the objects whose names sort after `m_after`. An empty
// `m_after` lists the first page.
struct ListCall {
  std::string m_after;
};

// Requests the changes after revision `m_since`. If there is none, the store
// waits at most `m_wait` for one before it responds.
struct WatchCall {
  Revision m_since;
  base::Duration m_wait{};
};

using CollectionCall = std::variant<ListCall, WatchCall>;

// The part of a response that CollectionWatcher uses. The objects of the
// response are passed to the owner of the watcher.
struct PageResponse {
  Revision m_store_revision;
  // More pages follow. The next page starts after m_last_name.
  bool m_has_more = false;
  std::string m_last_name;
};

struct ChangesResponse {
  Revision m_store_revision;
};

using CallResult = std::variant<PageResponse, ChangesResponse, CallFailure>;

}  // namespace catalog

#endif  // LIBCATALOG_COLLECTION_CALL_H_
