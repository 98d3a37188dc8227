#include <doctest/doctest.h>

#include "LibSteering/server_directory.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

TEST_CASE("a server is found by each of its tokens") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1"), At(0));
  const ServerTokens tokens = TokensOf(ServerName("i-1"));

  CHECK(directory.FindByToken(tokens[0]) ==
        directory.FindByName(ServerName("i-1")));
  CHECK(directory.FindByToken(tokens[1]) ==
        directory.FindByName(ServerName("i-1")));
  CHECK(directory.FindByToken(FlowToken(12345)) == nullptr);
}

TEST_CASE("an older record never replaces a newer one") {
  ServerDirectory directory;
  ServerRecord draining = MakeServer("i-1", 9);
  draining.m_state = ServerState::kDraining;
  directory.Apply(draining, At(0));

  CHECK(directory.Apply(MakeServer("i-1", 8), At(1)) == DirectoryChange::kNone);
  CHECK_FALSE(directory.FindByName(ServerName("i-1"))->AcceptsOpenings());
}

TEST_CASE("a record with a new incarnation shows that the server restarted") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1", 1), At(0));
  ServerRecord again = MakeServer("i-1", 2);
  again.m_incarnation = 5;

  CHECK(directory.Apply(again, At(1)) == DirectoryChange::kRestarted);
}

TEST_CASE("a server that is gone keeps its token while its flows may last") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1"), At(0));
  const FlowToken token = TokensOf(ServerName("i-1"))[0];

  CHECK(directory.Remove(ServerName("i-1"), At(0)) == DirectoryChange::kGone);
  CHECK(directory.ServersOf("portal").empty());
  directory.PurgeGoneServers(At(59'000));
  CHECK(directory.FindByToken(token) != nullptr);
  directory.PurgeGoneServers(At(61'000));
  CHECK(directory.FindByToken(token) == nullptr);
}

TEST_CASE(
    "a server that registers again after its record expired is listed again") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1", 1), At(0));
  directory.Remove(ServerName("i-1"), At(1));

  CHECK(directory.Apply(MakeServer("i-1", 2), At(2)) ==
        DirectoryChange::kAdded);
  CHECK(directory.ServersOf("portal").size() == 1);
}

TEST_CASE("a server that changes its service is listed under the new one") {
  ServerDirectory directory;
  directory.Apply(MakeServer("i-1", 1), At(0));
  ServerRecord moved = MakeServer("i-1", 2);
  moved.m_service = "archive";
  directory.Apply(moved, At(1));

  CHECK(directory.ServersOf("portal").empty());
  CHECK(directory.ServersOf("archive").size() == 1);
}

}  // namespace steering
