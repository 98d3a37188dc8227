#include <doctest/doctest.h>

#include <chrono>

#include "load_sharer.h"

using base::BackendServerId;
using service::LoadSharer;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr base::BalancerId kPeer(1);

// Returns three open flows on the server.
LoadSharer::OpenFlows OpenOn(std::uint64_t server) {
  return {{base::ServiceId(1), {{BackendServerId(server), 3}}}};
}

}  // namespace

TEST_CASE("a server that was removed from the document is removed at once") {
  LoadSharer sharer(kStart);
  sharer.SetOwnOpenFlows(OpenOn(7), kStart);
  sharer.Receive(kPeer, {{{7, 20}, {8, 20}}});

  sharer.SetOwnOpenFlows(OpenOn(8), kStart + milliseconds(50));

  CHECK(sharer.PeerServerCount() == 1);
  const auto digest = sharer.NextDigest(1, 0, kStart + milliseconds(50));
  REQUIRE(digest);
  CHECK(digest->m_entries == std::vector<peer::LoadEntry>{{8, 3}});
}

TEST_CASE(
    "a removed server that a peer still reports is removed at the next purge") {
  LoadSharer sharer(kStart);
  sharer.SetOwnOpenFlows(OpenOn(8), kStart);
  sharer.Receive(kPeer, {{{7, 20}, {8, 20}}});
  CHECK(sharer.PeerServerCount() == 2);

  sharer.SetOwnOpenFlows(OpenOn(8), kStart + LoadSharer::kPurgePeriod);

  CHECK(sharer.PeerServerCount() == 1);
}
