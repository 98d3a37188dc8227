// The calls by which a collection of the store is followed, and their results.

#ifndef LIBCATALOG_COLLECTION_CALL_H_
#define LIBCATALOG_COLLECTION_CALL_H_

#include <string>
#include <variant>

#include "LibBase/time.h"
#include "LibCatalog/call_failure.h"
#include "LibCatalog/revision.h"

namespace catalog {

// Lists the objects whose names come after `m_after`.
struct ListCall {
  std::string m_after;
};

// Asks for changes after `m_since`, and waits for one at most `m_wait`.
struct WatchCall {
  Revision m_since;
  base::Duration m_wait{};
};

using CollectionCall = std::variant<ListCall, WatchCall>;

// What the follower has to know of an answer; its objects go to the owner.
struct PageResponse {
  Revision m_store_revision;
  bool m_has_more = false;
  std::string m_last_name;
};

struct ChangesResponse {
  Revision m_store_revision;
};

using CallResult = std::variant<PageResponse, ChangesResponse, CallFailure>;

}  // namespace catalog

#endif  // LIBCATALOG_COLLECTION_CALL_H_
