#include <doctest/doctest.h>

#include <string>

#include "LibCatalog/removal_log.h"

namespace catalog {

TEST_CASE("the log knows the removals since any revision after the list") {
  RemovalLog log;
  CHECK_FALSE(log.RemovedSince(Revision(9)));
  log.OnListed(Revision(5));
  log.OnRemoved(steering::ServerName("i-1"), Revision(7));
  log.OnRemoved(steering::ServerName("i-2"), Revision(9));

  CHECK_FALSE(log.RemovedSince(Revision(4)));
  CHECK(log.RemovedSince(Revision(5))->size() == 2);
  CHECK(*log.RemovedSince(Revision(7)) ==
        std::vector{steering::ServerName("i-2")});
  CHECK(log.RemovedSince(Revision(9))->empty());
}

TEST_CASE("a new list ends what is known of earlier removals") {
  RemovalLog log;
  log.OnListed(Revision(5));
  log.OnRemoved(steering::ServerName("i-1"), Revision(7));

  log.OnListed(Revision(20));

  CHECK_FALSE(log.RemovedSince(Revision(7)));
  CHECK(log.RemovedSince(Revision(20))->empty());
}

TEST_CASE("the log is bounded and does not hide what it has dropped") {
  RemovalLog log;
  log.OnListed(Revision(1));
  for (std::uint64_t i = 0; i < 2 * RemovalLog::kMaximumRemovals; ++i)
    log.OnRemoved(steering::ServerName("i-" + std::to_string(i)),
                  Revision(2 + i));

  CHECK_FALSE(log.RemovedSince(Revision(1)));
  CHECK_FALSE(log.RemovedSince(Revision(RemovalLog::kMaximumRemovals)));
  CHECK(log.RemovedSince(Revision(RemovalLog::kMaximumRemovals + 1))->size() ==
        RemovalLog::kMaximumRemovals);
}

}  // namespace catalog
